#include "libraries/http/server_exchange.h"

#include <utility>

#include "libraries/http/server_connection.h"

namespace pomelospar::http {

namespace asio = boost::asio;

ServerExchange::ServerExchange(ServerConnection& serving) : connection(serving) {}

const HttpRequest& ServerExchange::request() const { return this->connection.request(); }

bool ServerExchange::is_first_request() const { return this->connection.is_first_request(); }

bool ServerExchange::started() const { return this->connection.started(); }

bool ServerExchange::disconnected() const { return this->connection.disconnected(); }
void ServerExchange::CloseAfterResponse() { this->connection.CloseAfterResponse(); }
bool ServerExchange::write_timed_out() const { return this->connection.has_write_timed_out(); }

bool ServerExchange::PeerHasClosed() { return this->connection.PeerHasClosed(); }

asio::awaitable<core::Result<void>> ServerExchange::Respond(HttpResponse response) {
  return this->connection.Respond(std::move(response));
}

asio::awaitable<core::Result<void>> ServerExchange::StartStream(ResponseHead head) {
  return this->connection.StartStream(std::move(head));
}

asio::awaitable<core::Result<void>> ServerExchange::Write(std::string_view piece) {
  return this->connection.Write(piece);
}

asio::awaitable<core::Result<void>> ServerExchange::FinishStream(std::vector<HttpHeader> trailers) {
  return this->connection.FinishStream(std::move(trailers));
}

asio::awaitable<core::Result<void>> ServerExchange::WriteRaw(std::string_view bytes) {
  return this->connection.WriteRaw(bytes);
}

asio::awaitable<core::Result<void>> ServerExchange::FinishStream() {
  return this->connection.FinishStream(std::vector<HttpHeader>());
}

void ServerExchange::Abort() { this->connection.Abort(); }

void ServerExchange::SetDisconnectHandler(std::function<void()> handler) {
  this->connection.SetDisconnectHandler(std::move(handler));
}

}  // namespace pomelospar::http
