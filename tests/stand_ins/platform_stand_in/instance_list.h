#ifndef POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_INSTANCE_LIST_H_
#define POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_INSTANCE_LIST_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace pomelospar::stand_in {

/// The emulated instance list. A change shows up after a lag, as with the real platform.
class InstanceList {
 public:
  using Time = std::chrono::steady_clock::time_point;

  explicit InstanceList(std::chrono::milliseconds visibility_lag) : lag(visibility_lag) {}

  /// Takes `{"set":[instance...],"remove":["ip:port"...]}`; false if it is not of this form.
  bool Change(const nlohmann::json& change, Time now);
  void set_lag(std::chrono::milliseconds visibility_lag) { this->lag = visibility_lag; }
  /// The response of `GET /v1/instances`. The whole list if `since` is 0 or not known any more.
  nlohmann::json Since(std::uint64_t since, Time now);

 private:
  struct Entry {
    nlohmann::json instance;
    std::uint64_t version = 0;
  };
  struct Pending {
    Time visible_from;
    nlohmann::json change;
  };

  void Apply(const nlohmann::json& change);

  std::chrono::milliseconds lag;
  std::deque<Pending> pending;
  std::uint64_t version = 1;
  std::map<std::string, Entry> instances;
  /// Address and version of the latest removals; older ones are forgotten.
  std::deque<std::pair<std::string, std::uint64_t>> removals;
  std::uint64_t forgotten_removals_until = 0;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_INSTANCE_LIST_H_
