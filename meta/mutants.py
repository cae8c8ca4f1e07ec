"""Shows that the system tests fail when a defence is removed.

Each mutant removes one defence from a copy of the sources, builds the daemon and runs the system
test that guards the promise. A mutant that survives is an error of the test.

    meta/mutants.py --work /tmp/mutants            all mutants
    meta/mutants.py --work /tmp/mutants no_claim   one of them

The working folder keeps the build between runs. The table of results goes to standard output.
"""

import argparse
import dataclasses
import os
import pathlib
import subprocess
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]


@dataclasses.dataclass
class Mutant:
    name: str
    defence: str
    file: str
    old: str
    new: str
    # File of tests/system and the tests in it that have to fail; empty names all.
    test: str
    cases: str = ""


MUTANTS = [
    Mutant("no_claim", "claim before a request that is not repeatable",
           "services/pomelospard/request_flow.cc",
           "if (!this->resolution.repeatable && !co_await this->BeginClaim())", "if (false)",
           "test_at_most_once.py", "AtMostOnceTest"),
    Mutant("always_not_run", "a request that was sent is never reported as not run",
           "services/pomelospard/request_flow.cc",
           "error.outcome = this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun;",
           "error.outcome = Outcome::kNotRun;", "test_at_most_once.py", "AtMostOnceTest"),
    Mutant("reuse_unnamed", "a connection is reused only if its responses name their requests",
           "services/pomelospard/upstream_attempt.cc",
           "if (!echoed) connection.ForbidReuse();", "", "test_connection_reuse.py"),
    Mutant("truncated_looks_whole", "the connection is cut when a stream cannot be completed",
           "services/pomelospard/request_flow.cc",
           """    // The response has started, so closing the connection is the only way to report the failure.
    this->exchange.Abort();""",
           """    std::ignore = co_await this->exchange.FinishStream({});""",
           "test_request_path.py", "RequestPathTest.test_truncated_stream_is_visibly_cut"),
    Mutant("ignore_leaving", "no grant on a runner that is leaving or drained",
           "services/pomelospard/runner_controller.cc",
           "return state.notices->IsRunnerUsable(runner.address, runner.incarnation, "
           "state.clock.now());", "return !runner.address.empty() || state.lifecycle == Lifecycle::kServing;",
           "test_drain_and_shutdown.py", "DrainAndShutdownTest.test_operator_drain_with_the_platform_down"),
    Mutant("stop_at_once", "a planned stop waits for accepted requests",
           "services/pomelospard/daemon.cc",
           "const auto deadline = state.clock.now() + state.settings.shutdown_grace;",
           "const auto deadline = state.clock.now();", "test_drain_and_shutdown.py",
           "DrainAndShutdownTest.test_sigterm_under_load_completes_all_requests"),
    Mutant("no_peer_generations", "generations are taken from peers while the platform is down",
           "services/pomelospard/daemon.cc",
           "this->sync->OnChanges(peer.address, changes);", "(void)peer, (void)changes;",
           "test_configuration.py", "ConfigurationTest.test_restart_while_the_platform_is_down"),
    Mutant("no_quarantine", "a fingerprint that crashed runners is refused",
           "services/pomelospard/request_flow.cc",
           "if (verdict != admission::CrashVerdict::kQuarantined) {",
           "if (verdict != admission::CrashVerdict::kPending) {",
           "test_crashing_request.py"),
    Mutant("no_service_order", "workspaces are ordered by service",
           "libraries/scheduling/slot_allocator_order.cc",
           "return this->ledger->NormalisedService(workspace.id) +\n"
           "         workspace.running / this->ledger->Share(workspace.id);",
           "return 0.0 * workspace.running * this->ledger->Share(workspace.id);", "test_fairness.py",
           "FairnessTest.test_gap_and_utilisation_with_skewed_entry"),
    Mutant("flood_without_order", "a flooding workspace is ordered after others by its service",
           "libraries/scheduling/slot_allocator_order.cc",
           "return this->ledger->NormalisedService(workspace.id) +\n"
           "         workspace.running / this->ledger->Share(workspace.id);",
           "return 0.0 * workspace.running * this->ledger->Share(workspace.id);",
           "test_flood.py", "FloodTest.test_flood_of_the_most_urgent_class"),
    Mutant("no_other_domains", "idle slots of other domains are used",
           "services/pomelospard/scheduling_controller.cc",
           "return upstream.cross_domain && !state.unreachable_domains.contains(domain);",
           "return false && upstream.cross_domain;", "test_fairness.py",
           "FairnessTest.test_gap_and_utilisation_with_skewed_entry"),
    Mutant("no_certificate_reload", "the certificate is read again at SIGHUP",
           "libraries/http/http_server.cc", "if (!this->state->tls) return core::Success();",
           "if (this->state->tls) return core::Success();", "test_security.py",
           "SecurityTest.test_tls_with_reload"),
    Mutant("any_fleet_key", "datagrams under another fleet key are rejected",
           "libraries/wire/envelope_verifier.cc",
           """    return this->Reject(RejectReason::kUnknownKey);
  }
  const std::string_view serialized = datagram.substr(kHeaderBytes);
  std::string authenticated(datagram.substr(0, kKeyIdentifierBytes));
  authenticated.append(serialized);
  const Authenticator expected = key->Authenticate(authenticated);
  if (CRYPTO_memcmp(expected.data(), datagram.data() + kKeyIdentifierBytes, expected.size()) != 0) {
    return this->Reject(RejectReason::kBadAuthenticator);
  }
""",
           """    this->Reject(RejectReason::kUnknownKey);
  }
  const std::string_view serialized = datagram.substr(kHeaderBytes);
""", "test_security.py",
           "SecurityTest.test_foreign_fleet_key"),
    Mutant("any_admin_token", "the admin port needs the operator's token",
           "services/pomelospard/admin_handler.cc", "given.size()) == 0;", "given.size()) < 1000;",
           "test_security.py", "SecurityTest.test_admin_token"),
]


def run(command, folder, **environment):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False,
                          env={**os.environ, **environment})


def copy_sources(folder):
    folder.mkdir(parents=True, exist_ok=True)
    archive = subprocess.run(["git", "archive", "HEAD"], cwd=REPOSITORY, capture_output=True,
                             check=True)
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)


def build(folder):
    result = run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_CXX_FLAGS=-Wno-error"],
                 folder)
    if result.returncode == 0:
        result = run(["ninja", "-C", "build", "-j4", "pomelospard", "engine_stand_in",
                      "service_stand_in", "platform_stand_in"], folder)
    if result.returncode != 0:
        raise RuntimeError(result.stdout[-3000:] + result.stderr[-3000:])


def run_test(folder, mutant):
    command = [sys.executable, "-B", mutant.test] + ([mutant.cases] if mutant.cases else [])
    result = run(command, folder / "tests" / "system", POMELOSPAR_BUILD=str(folder / "build"))
    lines = [line for line in result.stderr.splitlines()
             if line.startswith(("AssertionError", "http.client", "ConnectionError", "KeyError"))]
    return result.returncode == 0, (lines or [""])[0][:160]


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--work", required=True, type=pathlib.Path)
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    survivors = []
    for mutant in MUTANTS:
        if arguments.names and mutant.name not in arguments.names:
            continue
        copy_sources(arguments.work)
        path = arguments.work / mutant.file
        text = path.read_text()
        if mutant.old not in text:
            raise RuntimeError(f"{mutant.name}: {mutant.file} does not hold the defence any more")
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        build(arguments.work)
        passed, reason = run_test(arguments.work, mutant)
        print(f"{mutant.name}: {'SURVIVED' if passed else 'found'} by {mutant.test}: {reason}",
              flush=True)
        if passed:
            survivors.append(mutant.name)
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
