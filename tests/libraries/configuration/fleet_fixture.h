#ifndef POMELOSPAR_TESTS_LIBRARIES_CONFIGURATION_FLEET_FIXTURE_H_
#define POMELOSPAR_TESTS_LIBRARIES_CONFIGURATION_FLEET_FIXTURE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/configuration/configuration_apply.h"
#include "libraries/configuration/configuration_store.h"
#include "libraries/configuration/configuration_sync.h"
#include "libraries/core/clock.h"

namespace pomelospar::configuration {

/// A valid configuration with one workspace for each share, named "w0", "w1" and so on.
Configuration SampleConfiguration(const std::vector<double>& shares);

enum class Fault {
  kNone,
  /// Calls are refused before they are sent.
  kDown,
  /// The next commit takes effect, its answer is lost, and the platform is down afterwards.
  kLoseAnswer,
  /// Like `kLoseAnswer`, but the commit takes effect only when `Deliver` is called.
  kLoseRequest,
};

/// A platform whose table and objects are in memory. Each `Step` runs the waiting call that its
/// argument selects, so that tests choose how concurrent calls interleave.
class FakePlatform {
 public:
  platform::PlatformClient Client();
  /// Runs the waiting call at this position, modulo their number. Returns false if none waits.
  bool Step(std::size_t position = 0);
  /// Runs the commits that `kLoseRequest` held back.
  void Deliver();

  Fault fault = Fault::kNone;
  std::map<std::string, platform::Row> rows;
  std::map<std::string, std::string> objects;

 private:
  platform::TransactionResult Run(const platform::Transaction& transaction);
  void Commit(const std::vector<platform::Transaction>& transactions,
              const platform::Callback<std::vector<platform::TransactionResult>>& done);

  std::deque<std::function<void()>> waiting;
  std::vector<platform::Transaction> held_back;
};

struct FleetRouter {
  ConfigurationStore store;
  std::unique_ptr<ConfigurationSync> sync;
  std::unique_ptr<ConfigurationApplier> applier;
  std::vector<std::uint64_t> adopted;
  std::set<std::string> reachable;
};

/// Routers that share one platform, a message bus and a manual clock. The bus loses only messages
/// from senders that the receiver does not list as reachable.
class Fleet {
 public:
  FleetRouter& Start(const std::string& address);
  void Apply(const std::string& address, const std::string& identifier,
             const Configuration& configuration, std::optional<std::uint64_t> expected = {});
  /// Runs calls, messages and ticks until the manual clock has advanced by this time.
  void Run(std::chrono::milliseconds time);
  void DeliverMessages();

  core::ManualClock clock;
  FakePlatform platform;
  std::map<std::string, FleetRouter> routers;
  std::map<std::string, ApplyResult> results;

 private:
  struct Packet {
    std::string from;
    std::string to;
    wire::Message message;
  };
  void Deliver(const Packet& packet);

  std::deque<Packet> packets;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_TESTS_LIBRARIES_CONFIGURATION_FLEET_FIXTURE_H_
