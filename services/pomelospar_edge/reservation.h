#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_

#include <functional>
#include <memory>

#include "libraries/dispatch/engine_model.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// The work of one request at a runner, counted in this router's view from the decision to place it
/// until it ends. Tries the waiting requests when it gives room back.
class Reservation {
 public:
  Reservation(RouterState& state, std::shared_ptr<Runner> runner,
              const dispatch::EngineLoad& amount);
  ~Reservation();
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// The runner has read the prompt.
  void EndReading();
  Runner& runner() const { return *this->held; }

 private:
  void GiveBack(const dispatch::EngineLoad& amount);

  RouterState& state;
  std::shared_ptr<Runner> held;
  dispatch::EngineLoad amount;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESERVATION_H_
