// Emulator of model engines: continuous batching, streams, load reports with a lag, and faults.
// The interface is described by EngineRunner and Fault.
#include <gflags/gflags.h>

#include <memory>
#include <vector>

#include "tests/stand_ins/common/stand_in_host.h"
#include "tests/stand_ins/engine_stand_in/engine_runner.h"

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "first port; 0 lets the system choose");
DEFINE_uint32(ports, 1, "number of runners, one a port");
DEFINE_uint32(slots, 8, "requests that run at once on a runner");
DEFINE_double(first_token_ms, 20, "time to the first token");
DEFINE_double(token_ms, 5, "time of a token while nothing else runs");
DEFINE_double(slowdown_per_running, 0.02, "part of token_ms added for each other running request");
DEFINE_uint32(tokens_per_event, 1, "tokens in one streamed event");
DEFINE_uint32(load_lag_ms, 0, "age of the figures in the load report");
DEFINE_string(crash_marker, "", "a prompt with this text crashes the runner");
DEFINE_uint32(restart_after_ms, 1000,
              "with several ports, a crash closes one port for this time; with one, it ends the "
              "process");

namespace {

std::chrono::nanoseconds Milliseconds(double value) {
  constexpr double kNanosecondsPerMillisecond = 1e6;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(value * kNanosecondsPerMillisecond));
}

pomelospar::stand_in::EngineOptions OptionsFromFlags() {
  pomelospar::stand_in::EngineOptions options;
  options.slots = FLAGS_slots;
  options.first_token_time = Milliseconds(FLAGS_first_token_ms);
  options.token_time = Milliseconds(FLAGS_token_ms);
  options.slowdown_per_running = FLAGS_slowdown_per_running;
  options.tokens_per_event = std::max(1U, FLAGS_tokens_per_event);
  options.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  options.crash_marker = FLAGS_crash_marker;
  options.crash_ends_process = FLAGS_ports == 1;
  options.restart_after = std::chrono::milliseconds(FLAGS_restart_after_ms);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  pomelospar::stand_in::HostOptions host{"engine", FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
                                         FLAGS_ports};
  const auto options = OptionsFromFlags();
  std::vector<std::unique_ptr<pomelospar::stand_in::EngineRunner>> runners;
  return pomelospar::stand_in::RunStandIn(
      host, [&](boost::asio::io_context& io, pomelospar::stand_in::StandInPort& port, std::size_t) {
        runners.push_back(std::make_unique<pomelospar::stand_in::EngineRunner>(io, port, options));
      });
}
