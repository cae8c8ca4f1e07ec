#include "services/pomelospard/message_dispatcher.h"

#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/notice_controller.h"
#include "services/pomelospard/scheduling_controller.h"

namespace pomelospar::daemon {

std::string_view KindName(const wire::Message& message) {
  switch (message.kind_case()) {
    case wire::Message::kPing:
      return "ping";
    case wire::Message::kAck:
      return "ack";
    case wire::Message::kPingRequest:
      return "ping_request";
    case wire::Message::kDemand:
      return "demand";
    case wire::Message::kGrant:
      return "grant";
    case wire::Message::kRelease:
      return "release";
    case wire::Message::kDemandAck:
      return "demand_ack";
    case wire::Message::kServiceReport:
      return "service_report";
    case wire::Message::kDomainReport:
      return "domain_report";
    case wire::Message::kLedgerRequest:
      return "ledger_request";
    case wire::Message::kLedgerRows:
      return "ledger_rows";
    case wire::Message::kNoticeBatch:
      return "notice_batch";
    case wire::Message::kNoticeRequest:
      return "notice_request";
    case wire::Message::kConfigurationRequest:
      return "configuration_request";
    case wire::Message::kConfigurationChanges:
      return "configuration_changes";
    case wire::Message::KIND_NOT_SET:
      break;
  }
  return "none";
}

void DispatchMessage(RouterState& state, const core::RouterIdentity& sender,
                     const wire::Message& message, const ConfigurationHooks& configuration) {
  if (sender != state.self) {
    ApplyMembership(state, state.members->Handle(sender, message, state.clock.now()),
                    configuration.peers);
  }
  switch (message.kind_case()) {
    case wire::Message::kPing:
    case wire::Message::kAck:
    case wire::Message::kPingRequest:
    case wire::Message::KIND_NOT_SET:
      return;
    case wire::Message::kDemand:
      HandleDemand(state, sender, message.demand());
      return;
    case wire::Message::kGrant:
      HandleGrant(state, sender, message.grant());
      return;
    case wire::Message::kRelease:
      HandleRelease(state, sender, message.release());
      return;
    case wire::Message::kDemandAck:
      HandleDemandAck(state, sender, message.demand_ack());
      return;
    case wire::Message::kServiceReport:
      HandleServiceReport(state, sender, message.service_report());
      return;
    case wire::Message::kDomainReport:
      HandleDomainReport(state, sender, message.domain_report());
      return;
    case wire::Message::kLedgerRequest:
      HandleLedgerRequest(state, sender);
      return;
    case wire::Message::kLedgerRows:
      HandleLedgerRows(state, sender, message.ledger_rows());
      return;
    case wire::Message::kNoticeBatch:
      HandleNoticeBatch(state, message.notice_batch());
      return;
    case wire::Message::kNoticeRequest:
      HandleNoticeRequest(state, sender);
      return;
    case wire::Message::kConfigurationRequest:
      configuration.on_request(sender, message.configuration_request());
      return;
    case wire::Message::kConfigurationChanges:
      configuration.on_changes(sender, message.configuration_changes());
      return;
  }
}

}  // namespace pomelospar::daemon
