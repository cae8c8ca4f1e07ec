#include "libraries/transport/control_transport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace pomelospar::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::TimePoint Now() { return core::SystemClock().now(); }

// Returns an address on which nothing listens.
std::string UnusedAddress() {
  sockaddr_in address{.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
  socklen_t size = sizeof(address);
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size), 0);
  EXPECT_EQ(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size), 0);
  close(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A transport that stores the datagrams it receives. By default the operating system chooses its
/// port.
class Endpoint {
 public:
  explicit Endpoint(TransportOptions options = {}) {
    if (options.listen_address.empty()) {
      options.listen_address = "127.0.0.1:0";
    }
    this->transport = ControlTransport::Create(options, [this](std::string datagram) {
                        const std::lock_guard lock(this->mutex);
                        this->datagrams.push_back(std::move(datagram));
                        this->arrived.notify_all();
                      }).value();
  }

  bool WaitFor(std::size_t count, milliseconds limit = seconds(10)) {
    std::unique_lock lock(this->mutex);
    return this->arrived.wait_for(lock, limit, [&] { return this->datagrams.size() >= count; });
  }
  bool Received(const std::string& datagram) {
    const std::lock_guard lock(this->mutex);
    return std::find(this->datagrams.begin(), this->datagrams.end(), datagram) !=
           this->datagrams.end();
  }
  const std::string& address() const { return this->transport->address(); }

  std::mutex mutex;
  std::condition_variable arrived;
  std::vector<std::string> datagrams;
  // Declared last, because its destructor stops the calls that use the members above.
  std::unique_ptr<ControlTransport> transport;
};

// Guards against datagrams that are lost or altered on a working connection, in either direction.
TEST(ControlTransportTest, CarriesDatagramsBothWaysAndCountsThem) {
  Endpoint left;
  Endpoint right;
  const std::string binary("\0\xff datagram", 11);
  EXPECT_TRUE(left.transport->Send(right.address(), binary, Now()));
  EXPECT_TRUE(right.transport->Send(left.address(), "answer", Now()));
  ASSERT_TRUE(right.WaitFor(1));
  ASSERT_TRUE(left.WaitFor(1));
  EXPECT_EQ(right.datagrams.at(0), binary);
  EXPECT_EQ(left.datagrams.at(0), "answer");
  EXPECT_EQ(left.transport->counters().sent_messages, 1U);
  EXPECT_EQ(left.transport->counters().sent_bytes, binary.size());
  EXPECT_EQ(left.transport->counters().received_bytes, 6U);
}

// Guards against a send that blocks while the peer is down, and against a peer that is not reached
// again after it restarts.
TEST(ControlTransportTest, SendNeverWaitsAndReconnects) {
  Endpoint sender({.send_buffer = 4});
  const std::string address = UnusedAddress();
  const auto start = Now();
  int accepted = 0;
  for (int message = 0; message < 100; ++message) {
    accepted += sender.transport->Send(address, "to nobody", Now()) ? 1 : 0;
  }
  EXPECT_LT(Now() - start, milliseconds(500));
  EXPECT_LE(accepted, 6);
  EXPECT_GE(sender.transport->counters().dropped_messages, 94U);

  Endpoint back({.listen_address = address});
  const auto deadline = Now() + seconds(10);
  while (!back.Received("hello") && Now() < deadline) {
    sender.transport->Send(address, "hello", Now());
    back.WaitFor(1, milliseconds(50));
  }
  EXPECT_TRUE(back.Received("hello"));
}

// Guards against a peer that makes this process buffer or deliver a datagram above the size limit.
TEST(ControlTransportTest, DropsDatagramsAboveTheReceiveLimit) {
  Endpoint receiver({.receive_limit = 1000});
  Endpoint sender;
  sender.transport->Send(receiver.address(), std::string(2000, 'x'), Now());
  const auto deadline = Now() + seconds(10);
  while (!receiver.Received("small") && Now() < deadline) {
    sender.transport->Send(receiver.address(), "small", Now());
    receiver.WaitFor(1, milliseconds(50));
  }
  EXPECT_TRUE(receiver.Received("small"));
  EXPECT_FALSE(receiver.Received(std::string(2000, 'x')));
}

// Guards against an injected partition that lets datagrams through, or that remains after the block
// is removed.
TEST(ControlTransportTest, SendsNothingToBlockedPeers) {
  Endpoint left;
  Endpoint right;
  left.transport->BlockPeers({right.address()});
  EXPECT_TRUE(left.transport->IsBlocked(right.address()));
  EXPECT_FALSE(left.transport->Send(right.address(), "blocked", Now()));
  EXPECT_EQ(left.transport->counters().blocked_messages, 1U);
  EXPECT_EQ(left.transport->peers(), 0U);
  left.transport->BlockPeers({});
  EXPECT_TRUE(left.transport->Send(right.address(), "open", Now()));
  ASSERT_TRUE(right.WaitFor(1));
  EXPECT_EQ(right.datagrams.at(0), "open");
}

// Guards against connections to unused or dead peers that stay open.
TEST(ControlTransportTest, ClosesIdleAndForgottenConnections) {
  Endpoint left({.idle_timeout = seconds(30)});
  Endpoint right;
  Endpoint third;
  const auto now = Now();
  left.transport->Send(right.address(), "one", now);
  left.transport->Send(third.address(), "two", now + seconds(20));
  left.transport->CloseIdle(now + seconds(29));
  EXPECT_EQ(left.transport->peers(), 2U);
  left.transport->CloseIdle(now + seconds(31));
  EXPECT_EQ(left.transport->peers(), 1U);
  left.transport->Disconnect(third.address());
  EXPECT_EQ(left.transport->peers(), 0U);
}

// Guards against file descriptors exhausted by too many incoming connections.
TEST(ControlTransportTest, RefusesConnectionsAboveTheLimit) {
  Endpoint receiver({.maximum_connections = 1});
  Endpoint first;
  Endpoint second;
  first.transport->Send(receiver.address(), "first", Now());
  ASSERT_TRUE(receiver.WaitFor(1));
  second.transport->Send(receiver.address(), "second", Now());
  const auto deadline = Now() + seconds(10);
  while (receiver.transport->counters().refused_connections == 0 && Now() < deadline) {
    receiver.WaitFor(2, milliseconds(20));
  }
  EXPECT_GE(receiver.transport->counters().refused_connections, 1U);
  EXPECT_FALSE(receiver.Received("second"));
}

// Guards against a daemon that starts although its control address cannot be listened on.
TEST(ControlTransportTest, ReportsAddressesItCannotListenOn) {
  Endpoint holder;
  const auto taken = ControlTransport::Create({.listen_address = holder.address()}, {});
  EXPECT_TRUE(core::Is(taken.error(), core::ErrorKind::kUnavailable));
  const auto bad = ControlTransport::Create({.listen_address = "no address"}, {});
  EXPECT_TRUE(core::Is(bad.error(), core::ErrorKind::kInvalidArgument));
}

}  // namespace
}  // namespace pomelospar::transport
