#include "services/pomelospar_edge/response_match.h"

namespace pomelospar::edge {

bool MayAnswer(const adapter::ResponseFacts& facts, unsigned status, std::string_view attempt_id,
               bool is_reused_connection) {
  constexpr unsigned kMisdirectedRequest = 421;
  if (facts.attempt_id) return *facts.attempt_id == attempt_id;
  return !facts.not_executed || !is_reused_connection || status == kMisdirectedRequest;
}

}  // namespace pomelospar::edge
