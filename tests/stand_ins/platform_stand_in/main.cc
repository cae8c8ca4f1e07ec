// Emulator of the platform: table service, object store and instance list of docs/platform.md.
// Several ports serve the same data. Faults are described by PlatformService.
#include <gflags/gflags.h>

#include "tests/stand_ins/common/stand_in_host.h"
#include "tests/stand_ins/platform_stand_in/platform_service.h"

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "first port; 0 lets the system choose");
DEFINE_uint32(ports, 1, "number of ports");
DEFINE_double(writes_per_second, 400, "commits and object writes a second");
DEFINE_double(reads_per_second, 2000, "reads a second");
DEFINE_uint32(transactions_per_commit, 100, "largest number of transactions in one commit");
DEFINE_uint32(delay_ms, 1, "time before each response");
DEFINE_uint32(instance_list_lag_ms, 0, "time until a change of the instance list is visible");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  pomelospar::stand_in::PlatformOptions options;
  options.writes_per_second = FLAGS_writes_per_second;
  options.reads_per_second = FLAGS_reads_per_second;
  options.transactions_per_commit = FLAGS_transactions_per_commit;
  options.delay = std::chrono::milliseconds(FLAGS_delay_ms);
  options.instance_list_lag = std::chrono::milliseconds(FLAGS_instance_list_lag_ms);
  pomelospar::stand_in::PlatformService service(options);
  const pomelospar::stand_in::HostOptions host{"platform", FLAGS_ip,
                                               static_cast<std::uint16_t>(FLAGS_port), FLAGS_ports};
  return pomelospar::stand_in::RunStandIn(
      host, [&](boost::asio::io_context&, pomelospar::stand_in::StandInPort& port, std::size_t) {
        port.handler = [&](pomelospar::http::ServerExchange& exchange) {
          return service.Handle(exchange);
        };
      });
}
