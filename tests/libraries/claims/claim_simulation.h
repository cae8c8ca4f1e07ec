#ifndef POMELOSPAR_TESTS_LIBRARIES_CLAIMS_CLAIM_SIMULATION_H_
#define POMELOSPAR_TESTS_LIBRARIES_CLAIMS_CLAIM_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libraries/claims/claim_store.h"

namespace pomelospar::claims {

/// Settings of one simulated run.
struct SimulationSettings {
  std::uint64_t seed = 0;
  unsigned routers = 3;
  /// Number of idempotency keys.
  unsigned keys = 2;
  unsigned callers = 6;
  /// Percentage of the calls to the platform that fail.
  unsigned fault_percent = 40;
  /// Percentage of the actions of a router before which its process is paused.
  unsigned pause_percent = 10;
};

/// Simulates several routers, each with a `ClaimStore`, on one in-memory platform with failed
/// calls, delays, lost responses and writes that take effect after their loss was reported. Callers
/// resend their requests through random routers. Times are in milliseconds of simulated time.
class ClaimSimulation {
 public:
  explicit ClaimSimulation(const SimulationSettings& settings);

  /// Runs until all callers have stopped and the platform has worked without failures for almost a
  /// minute, then checks every key.
  void Run();

  /// Describes each violation of a guarantee of `ClaimStore`.
  std::vector<std::string> violations;

 private:
  struct Router {
    std::unique_ptr<ClaimStore> store;
    std::int64_t paused_until = 0;
  };

  core::TimePoint Now() const;
  /// Returns true with this probability.
  bool Chance(unsigned percent);
  std::int64_t Draw(std::int64_t low, std::int64_t high);
  /// Runs the action after the delay.
  void At(std::int64_t delay, std::function<void()> action);
  /// Runs the action after the delay and any pause of the router.
  void AtRouter(unsigned router, std::int64_t delay, std::function<void()> action);
  platform::PlatformClient PlatformFor(unsigned router);
  platform::TransactionResult Apply(const platform::Transaction& transaction);
  void Commit(unsigned router, const std::vector<platform::Transaction>& transactions,
              const platform::Callback<std::vector<platform::TransactionResult>>& callback);
  void Call(unsigned key, unsigned body, unsigned resends);
  void OnReply(unsigned router, unsigned key, unsigned body, unsigned resends,
               const BeginResult& result);
  void Send(unsigned router, unsigned key, const Claim& claim);
  void TickAll();
  void RunUntil(std::int64_t end);
  /// Checks that no sent request may be sent again, that no request that was not sent is blocked,
  /// and that replayed answers are the right ones.
  void CheckKeysAreUsable();

  SimulationSettings settings;
  std::mt19937_64 random;
  std::int64_t time = 0;
  bool healthy = false;
  std::multimap<std::int64_t, std::function<void()>> events;
  std::map<std::string, platform::Row> rows;
  std::vector<Router> routers;
  /// By key: the attempt that sent the request.
  std::map<unsigned, std::string> attempt_that_sent;
  /// By key: the body of the first request that was told to proceed.
  std::map<unsigned, std::string> body_of_key;
};

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_TESTS_LIBRARIES_CLAIMS_CLAIM_SIMULATION_H_
