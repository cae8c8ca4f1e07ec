#ifndef POMELOSPAR_TESTS_STAND_INS_COMMON_FAULT_H_
#define POMELOSPAR_TESTS_STAND_INS_COMMON_FAULT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pomelospar::stand_in {

/// What goes wrong with one request. As JSON:
/// `{"kind":"truncate","after":3,"delay_ms":0,"count":1}`.
struct Fault {
  /// One of "none", "delay", "crash", "crash_after_run", "truncate", "garbage_head", "never_end",
  /// "left_over", "wrong_length", "close_before", "lose_answer".
  std::string kind = "none";
  /// Tokens that are sent before the fault takes place.
  std::uint64_t after = 0;
  /// Time before the request starts to run.
  std::chrono::milliseconds delay{0};
  /// Added to the true length by "wrong_length".
  std::int64_t length_error = 10;
};

Fault ParseFault(const nlohmann::json& description);

/// Faults set by `POST /control` for the next `count` requests; -1 is for all.
class PlannedFaults {
 public:
  void Set(const nlohmann::json& description);
  /// The fault of a request: its own field `fault`, else the planned one.
  Fault Next(const nlohmann::json& request_body);

 private:
  Fault planned;
  std::int64_t count = 0;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_COMMON_FAULT_H_
