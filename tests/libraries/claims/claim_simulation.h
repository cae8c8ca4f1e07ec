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

struct SimulationSettings {
  std::uint64_t seed = 0;
  unsigned routers = 3;
  unsigned keys = 2;
  unsigned callers = 6;
  /// Percent of platform calls that fail in some way.
  unsigned faults = 40;
  /// Percent of steps of a router that are preceded by a pause.
  unsigned pauses = 10;
};

/// Several routers with a `ClaimStore` each, on one in-memory platform with outages, delays, lost
/// responses and writes that take effect after their loss was reported. Callers resend through any
/// router. `violations` names every broken promise.
class ClaimSimulation {
 public:
  explicit ClaimSimulation(const SimulationSettings& settings);

  /// Runs until all callers have given up and the platform has been healthy for a minute.
  void Run();

  std::vector<std::string> violations;

 private:
  struct Router {
    std::unique_ptr<ClaimStore> store;
    std::int64_t paused_until = 0;
  };

  core::TimePoint Now() const;
  bool Chance(unsigned percent);
  std::int64_t Draw(std::int64_t low, std::int64_t high);
  void At(std::int64_t delay, std::function<void()> action);
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
  void CheckKeysAreUsable();

  SimulationSettings settings;
  std::mt19937_64 random;
  std::int64_t time = 0;
  bool healthy = false;
  std::multimap<std::int64_t, std::function<void()>> events;
  std::map<std::string, platform::Row> rows;
  std::vector<Router> routers;
  std::map<unsigned, std::string> attempt_that_sent;
  std::map<unsigned, std::string> body_of_key;
};

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_TESTS_LIBRARIES_CLAIMS_CLAIM_SIMULATION_H_
