#include "tests/stand_ins/common/fault.h"

namespace pomelospar::stand_in {

Fault ParseFault(const nlohmann::json& description) {
  Fault fault;
  if (description.is_string()) {
    fault.kind = description.get<std::string>();
    return fault;
  }
  if (!description.is_object()) return fault;
  fault.kind = description.value("kind", fault.kind);
  fault.after = description.value("after", fault.after);
  fault.delay = std::chrono::milliseconds(description.value("delay_ms", std::int64_t{0}));
  fault.length_error = description.value("length_error", fault.length_error);
  return fault;
}

void PlannedFaults::Set(const nlohmann::json& description) {
  this->planned = ParseFault(description);
  this->count = description.is_object() ? description.value("count", std::int64_t{1}) : 1;
}

Fault PlannedFaults::Next(const nlohmann::json& request_body) {
  const auto own = request_body.find("fault");
  if (own != request_body.end()) return ParseFault(*own);
  if (this->count == 0) return {};
  if (this->count > 0) --this->count;
  return this->planned;
}

}  // namespace pomelospar::stand_in
