#ifndef POMELOSPAR_TESTS_STAND_INS_SERVICE_STAND_IN_PLAIN_SERVICE_H_
#define POMELOSPAR_TESTS_STAND_INS_SERVICE_STAND_IN_PLAIN_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "libraries/http/server_exchange.h"
#include "tests/stand_ins/common/fault.h"
#include "tests/stand_ins/common/stand_in_host.h"

namespace pomelospar::stand_in {

struct ServiceOptions {
  std::chrono::milliseconds run_time{5};
  /// Each run is appended to this file as a JSON line. Empty: no history.
  std::string history_file;
  bool crash_ends_process = true;
  std::chrono::milliseconds restart_after{1000};
};

/// A plain service that books whatever it is sent: it counts the runs of each Idempotency-Key and
/// never refuses a repeat, so that a second run shows.
class PlainService {
 public:
  explicit PlainService(const ServiceOptions& service_options);

  boost::asio::awaitable<void> Handle(StandInPort& port, http::ServerExchange& exchange);

 private:
  boost::asio::awaitable<void> Run(StandInPort& port, http::ServerExchange& exchange);
  /// Returns the number of this run among those of its key.
  std::uint64_t Record(const http::HttpRequest& request, const std::string& key);
  void Crash(StandInPort& port);
  nlohmann::json Statistics() const;

  ServiceOptions options;
  PlannedFaults faults;
  std::ofstream history;
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t total_runs = 0;
  std::uint64_t received = 0;
  std::uint64_t crashes = 0;
  bool leaving = false;
  std::uint64_t incarnation;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_SERVICE_STAND_IN_PLAIN_SERVICE_H_
