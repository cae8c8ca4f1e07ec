#ifndef POMELOSPAR_TESTS_SERVICES_SAMPLE_REPORT_H_
#define POMELOSPAR_TESTS_SERVICES_SAMPLE_REPORT_H_

#include <string>
#include <utility>

#include "libraries/dispatch/peer_view.h"
#include "libraries/wire/fleet_keys.h"

namespace pomelospar::edge {

/// Returns a key for reports; another letter makes another key.
inline wire::FleetKey Key(char letter = 'k') {
  return std::move(wire::FleetKey::Create(std::string(wire::kMinimumSecretBytes, letter)).value());
}

/// Returns a report with some content.
inline dispatch::PeerReport Report() {
  dispatch::PeerReport report = {.sender = "10.0.0.1", .incarnation = 7, .sequence = 3};
  report.runners[11] = {.prefill_tokens = 100.0, .active = 2.0, .memory_tokens = 5000.0};
  report.workspaces[5] = {.asked = 10.0, .served = 4.0};
  report.sent_prefixes.push_back({.runner = 11, .parts = {{0x5c1e07a2, 800.0}}});
  return report;
}

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_TESTS_SERVICES_SAMPLE_REPORT_H_
