#ifndef POMELOSPAR_SERVICES_POMELOSPARD_OUTBOX_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_OUTBOX_H_

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::daemon {

/// Control messages that wait to be sent. All messages to one receiver that are added in one turn
/// of the I/O thread leave in one datagram.
class Outbox {
 public:
  struct Batch {
    core::RouterIdentity receiver;
    std::vector<wire::Message> messages;
  };

  /// `on_filled` is called when the first message enters an empty outbox.
  explicit Outbox(std::function<void()> on_filled) : on_filled(std::move(on_filled)) {}

  void Add(const core::RouterIdentity& receiver, wire::Message message);

  /// Wraps the message type `T` with the setter of its field, as in
  /// `Add(receiver, grant, &wire::Message::mutable_grant)`.
  template <typename T>
  void Add(const core::RouterIdentity& receiver, T content, T* (wire::Message::*field)()) {
    wire::Message message;
    *(message.*field)() = std::move(content);
    this->Add(receiver, std::move(message));
  }

  std::vector<Batch> Take();

 private:
  std::function<void()> on_filled;
  std::map<core::RouterIdentity, std::vector<wire::Message>> messages;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_OUTBOX_H_
