#include "tests/libraries/configuration/fleet_fixture.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/configuration/normalise.h"

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using platform::Row;

const core::Error& Down() {
  static const auto error = MakeError(ErrorKind::kUnavailable, "the platform is down");
  return error;
}

}  // namespace

Configuration SampleConfiguration(const std::vector<double>& shares) {
  Configuration configuration;
  configuration.classes.push_back({"standard"});
  Upstream upstream;
  upstream.name = "desk";
  upstream.cost.per_call = 1.0;
  upstream.runners.push_back({{}, "127.0.0.1:9001", "a", {}, 4});
  configuration.upstreams.push_back(upstream);
  for (std::size_t index = 0; index < shares.size(); ++index) {
    Workspace workspace;
    workspace.name = fmt::format("w{}", index);
    workspace.share = shares[index];
    workspace.key_hashes = {fmt::format("{:064x}", index)};
    workspace.classes = {"standard"};
    workspace.default_class = "standard";
    workspace.upstreams = {"desk"};
    configuration.workspaces.push_back(workspace);
  }
  Route route;
  route.name = "all";
  route.path_prefix = "/";
  route.upstream = "desk";
  configuration.routes.push_back(route);
  Normalise(configuration);
  return configuration;
}

platform::PlatformClient FakePlatform::Client() {
  platform::PlatformClient client;
  client.commit = [this](auto transactions, auto done) {
    this->waiting.emplace_back([=, this] { this->Commit(transactions, done); });
  };
  client.read_row = [this](auto key, auto done) {
    this->waiting.emplace_back([=, this] {
      if (this->fault == Fault::kDown) {
        done(Down());
        return;
      }
      const auto row = this->rows.find(key);
      done(row == this->rows.end() ? std::nullopt : std::optional<Row>(row->second));
    });
  };
  client.scan_rows = [this](auto prefix, auto after, auto limit, auto done) {
    this->waiting.emplace_back([=, this] {
      std::vector<Row> found;
      for (auto row = this->rows.upper_bound(after); row != this->rows.end(); ++row) {
        if (row->first.starts_with(prefix) && found.size() < limit) {
          found.push_back(row->second);
        }
      }
      this->fault == Fault::kDown ? done(Down()) : done(found);
    });
  };
  client.put_object = [this](auto name, auto content, auto done) {
    this->waiting.emplace_back([=, this] {
      if (this->fault == Fault::kDown) {
        done(Down());
        return;
      }
      this->objects[name] = content;
      done(true);
    });
  };
  client.read_object = [this](auto name, auto done) {
    this->waiting.emplace_back([=, this] {
      if (this->fault == Fault::kDown) {
        done(Down());
        return;
      }
      const auto object = this->objects.find(name);
      done(object == this->objects.end() ? std::nullopt
                                         : std::optional<std::string>(object->second));
    });
  };
  return client;
}

platform::TransactionResult FakePlatform::Run(const platform::Transaction& transaction) {
  platform::TransactionResult result;
  result.committed = true;
  for (const auto& write : transaction.writes) {
    const auto row = this->rows.find(write.key);
    const auto version = row == this->rows.end() ? 0 : row->second.version;
    result.committed &= !write.expected_version || *write.expected_version == version;
  }
  for (const auto& write : transaction.writes) {
    if (result.committed) {
      auto& row = this->rows[write.key];
      row = {write.key, write.value, row.version + 1};
    }
    const auto row = this->rows.find(write.key);
    result.rows.push_back(row == this->rows.end() ? Row{write.key, "", 0} : row->second);
  }
  return result;
}

void FakePlatform::Commit(
    const std::vector<platform::Transaction>& transactions,
    const platform::Callback<std::vector<platform::TransactionResult>>& done) {
  if (this->fault == Fault::kDown) {
    done(Down());
    return;
  }
  if (this->fault == Fault::kLoseRequest) {
    this->held_back = transactions;
  }
  std::vector<platform::TransactionResult> results;
  for (const auto& transaction : transactions) {
    if (this->fault != Fault::kLoseRequest) {
      results.push_back(this->Run(transaction));
    }
  }
  if (this->fault != Fault::kNone) {
    this->fault = Fault::kDown;
    done(MakeError(ErrorKind::kUnknownOutcome, "the answer was lost"));
    return;
  }
  done(results);
}

void FakePlatform::Deliver() {
  for (const auto& transaction : this->held_back) {
    this->Run(transaction);
  }
  this->held_back.clear();
}

bool FakePlatform::Step(std::size_t position) {
  if (this->waiting.empty()) {
    return false;
  }
  const auto call =
      this->waiting.begin() + static_cast<std::ptrdiff_t>(position % this->waiting.size());
  const auto run = std::move(*call);
  this->waiting.erase(call);
  run();
  return true;
}

FleetRouter& Fleet::Start(const std::string& address) {
  this->routers.erase(address);
  auto& router = this->routers[address];
  SyncCallbacks callbacks;
  callbacks.send = [this, address](const std::string& peer, const wire::Message& message) {
    this->packets.push_back({address, peer, message});
  };
  callbacks.adopted = [&router](const HeldPointer& held, bool) {
    router.adopted.push_back(held->generation);
  };
  callbacks.reachable_peers = [&router] {
    return std::vector<std::string>(router.reachable.begin(), router.reachable.end());
  };
  router.sync = std::make_unique<ConfigurationSync>(router.store, this->platform.Client(),
                                                    callbacks, SyncSettings{}, std::mt19937_64(1));
  router.applier = std::make_unique<ConfigurationApplier>(
      router.store, *router.sync, this->platform.Client(), this->clock.clock());
  return router;
}

void Fleet::Apply(const std::string& address, const std::string& identifier,
                  const Configuration& configuration, std::optional<std::uint64_t> expected) {
  ApplyRequest request;
  request.sections = ToSections(configuration);
  request.expected_generation = expected;
  request.apply_identifier = identifier;
  request.operator_name = "operator of " + address;
  this->routers.at(address).applier->Apply(request, [this, identifier](const ApplyResult& result) {
    this->results[identifier] = result;
  });
}

void Fleet::Deliver(const Packet& packet) {
  const auto router = this->routers.find(packet.to);
  if (router == this->routers.end() || !router->second.reachable.contains(packet.from)) {
    return;
  }
  auto& sync = *router->second.sync;
  if (packet.message.has_configuration_request()) {
    sync.OnRequest(packet.from, packet.message.configuration_request());
  }
  if (packet.message.has_configuration_changes()) {
    sync.OnChanges(packet.from, packet.message.configuration_changes());
  }
}

void Fleet::Run(std::chrono::milliseconds time) {
  constexpr auto kStep = std::chrono::milliseconds(50);
  for (auto elapsed = std::chrono::milliseconds(0); elapsed < time; elapsed += kStep) {
    this->clock.Advance(kStep);
    for (auto& [address, router] : this->routers) {
      router.sync->Tick(this->clock.now());
      router.applier->Tick(this->clock.now());
    }
    while (this->platform.Step()) {
    }
    this->DeliverMessages();
  }
}

void Fleet::DeliverMessages() {
  while (!this->packets.empty()) {
    const auto packet = std::move(this->packets.front());
    this->packets.pop_front();
    this->Deliver(packet);
  }
}

}  // namespace pomelospar::configuration
