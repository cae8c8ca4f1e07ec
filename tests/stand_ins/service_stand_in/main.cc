// Emulator of a plain service whose requests must not run twice. All ports count together.
// Faults are described by Fault.
#include <gflags/gflags.h>

#include "tests/stand_ins/common/stand_in_host.h"
#include "tests/stand_ins/service_stand_in/plain_service.h"

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "first port; 0 lets the system choose");
DEFINE_uint32(ports, 1, "number of runners, one a port");
DEFINE_uint32(run_ms, 5, "time that a request runs");
DEFINE_string(history, "", "file to which each run is appended as a JSON line");
DEFINE_uint32(restart_after_ms, 1000,
              "with several ports, a crash closes one port for this time; with one, it ends the "
              "process");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  pomelospar::stand_in::ServiceOptions options;
  options.run_time = std::chrono::milliseconds(FLAGS_run_ms);
  options.history_file = FLAGS_history;
  options.crash_ends_process = FLAGS_ports == 1;
  options.restart_after = std::chrono::milliseconds(FLAGS_restart_after_ms);
  pomelospar::stand_in::PlainService service(options);
  const pomelospar::stand_in::HostOptions host{"service", FLAGS_ip,
                                               static_cast<std::uint16_t>(FLAGS_port), FLAGS_ports};
  return pomelospar::stand_in::RunStandIn(
      host, [&](boost::asio::io_context&, pomelospar::stand_in::StandInPort& port, std::size_t) {
        port.handler = [&](pomelospar::http::ServerExchange& exchange) {
          return service.Handle(port, exchange);
        };
      });
}
