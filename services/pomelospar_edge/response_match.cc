#include "services/pomelospar_edge/response_match.h"

namespace pomelospar::edge {

bool IsFromOtherRunner(const adapter::ResponseFacts& facts, unsigned status,
                       const PendingSend& send) {
  constexpr unsigned kMisdirectedRequest = 421;
  return status == kMisdirectedRequest && facts.runner_id && *facts.runner_id != send.runner_id;
}

bool MayAnswer(const adapter::ResponseFacts& facts, unsigned status, const PendingSend& send) {
  if (facts.attempt_id) return *facts.attempt_id == send.attempt_id;
  return !send.is_reused_connection || IsFromOtherRunner(facts, status, send);
}

}  // namespace pomelospar::edge
