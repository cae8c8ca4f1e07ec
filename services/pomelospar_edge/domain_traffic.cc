#include "services/pomelospar_edge/domain_traffic.h"

#include <string_view>

namespace pomelospar::edge {
namespace {

void LogRegime(RouterState& state, const std::string& upstream, std::string_view regime,
               std::string_view reason, double share) {
  state.log.Write(core::LogLevel::kInfo, "domain_regime",
                  {{"upstream", upstream},
                   {"domain", state.settings.domain},
                   {"regime", regime},
                   {"reason", reason},
                   {"share", share}});
}

}  // namespace

void CountDomainChoice(RouterState& state, const std::string& upstream,
                       const dispatch::DomainChoice& choice) {
  if (!state.settings.cross_domain_ms_per_mib) return;
  const auto now = state.clock.now();
  auto& leaving = state.leaving[upstream];
  leaving.share.Count(now, choice);
  if (!choice.leaves || leaving.some_leave) return;
  leaving.some_leave = true;
  LogRegime(state, upstream, "some_leave", dispatch::NameOf(choice.reason), leaving.share.At(now));
}

void UpdateDomainRegimes(RouterState& state) {
  const auto now = state.clock.now();
  for (auto& [upstream, leaving] : state.leaving) {
    if (!leaving.some_leave || leaving.share.SomeLeave(now)) continue;
    leaving.some_leave = false;
    LogRegime(state, upstream, "home_only", dispatch::NameOf(dispatch::LeavingReason::kNone),
              leaving.share.At(now));
  }
}

void CountDomainTraffic(RouterState& state, const std::string& domain, std::size_t bytes) {
  const auto& own = state.settings.domain;
  state.metrics
      .FindCounter("pomelospar_domain_requests_total",
                   "Requests sent to runners, by the failure domains of the router and the runner.",
                   {{"from", own}, {"to", domain}})
      .Add();
  state.metrics
      .FindCounter("pomelospar_domain_bytes_total",
                   "Bytes of the bodies of these requests and of their responses.",
                   {{"from", own}, {"to", domain}})
      .Add(static_cast<double>(bytes));
}

}  // namespace pomelospar::edge
