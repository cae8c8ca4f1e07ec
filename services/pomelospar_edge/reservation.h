#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_

#include <functional>
#include <memory>

#include "libraries/dispatch/engine_model.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Load of one request at a runner. It is added to the runner's load in this router's view when the
/// request is placed, and subtracted by the destructor. Whenever load is subtracted, the requests
/// that wait for a runner are tried again.
class Reservation {
 public:
  Reservation(RouterState& state, std::shared_ptr<Runner> runner,
              const dispatch::EngineLoad& amount);
  ~Reservation();
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// Call when the runner has prefilled the prompt: subtracts the tokens still to be prefilled.
  void OnPromptPrefilled();
  /// Call instead of waiting for the destructor if the request was not sent: subtracts the load
  /// without a report to the coordinator, which does not count it, and without trying the waiting
  /// requests, for which the runner has no more room than before.
  void Cancel();
  Runner& runner() const { return *this->held; }

 private:
  void SubtractLoad(const dispatch::EngineLoad& amount);

  RouterState& state;
  std::shared_ptr<Runner> held;
  dispatch::EngineLoad amount;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_
