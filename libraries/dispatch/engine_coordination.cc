#include "libraries/dispatch/engine_coordination.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {
namespace {

// An engine with this many more tokens to prefill than assumed is still accepted: choosing again
// costs a round trip, and these tokens are prefilled in 10 to 30 ms.
constexpr double kToleratedTokens = 1000.0;

}  // namespace

std::optional<std::string_view> ChooseCoordinator(std::uint64_t engine,
                                                  std::span<const std::string_view> live_routers) {
  std::optional<std::string_view> chosen;
  std::uint64_t highest = 0;
  for (const auto router : live_routers) {
    const auto score = core::CombineHashes(engine, core::HashName(router));
    if (chosen && score <= highest) continue;
    chosen = router;
    highest = score;
  }
  return chosen;
}

PlacementProposal ProposePlacement(const EngineOption& option, double prefill_tokens) {
  return {.prefill_tokens = prefill_tokens,
          .max_prefill_tokens = option.load.prefill_tokens + kToleratedTokens,
          .max_active = option.slots * option.usable_fraction};
}

bool IsAcceptable(const PlacementProposal& proposal, const EngineLoad& load) {
  return load.prefill_tokens <= proposal.max_prefill_tokens && load.active < proposal.max_active;
}

}  // namespace pomelospar::dispatch
