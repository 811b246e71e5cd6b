#include "platform/crowds/crowd.h"

#include <boost/asio/buffer.hpp>

namespace foxquay::platform::crowds {

void Crowd::Attack(const std::string& address, const Message& message,
                   std::size_t connections) {
  const net::Tcp::endpoint endpoint = net::ParseEndpoint(address).value();
  const Message& content = messages_.emplace_back(message);
  for (std::size_t count = 0; count < connections; ++count) {
    Connection& connection = connections_.emplace_back(context_, content);
    ++sending_;
    connection.socket.async_connect(
        endpoint, [this, &connection](const boost::system::error_code& error) {
          if (error) {
            --sending_;
          } else {
            Send(connection);
          }
        });
  }
}

void Crowd::Send(Connection& connection) {
  const Message& message = connection.message;
  const std::string& part = connection.part == 0 ? message.begin
                            : connection.part <= message.repeats
                                ? message.repeated
                                : message.end;
  if (connection.offset == part.size()) {
    if (connection.part > message.repeats) {
      --sending_;
      return;
    }
    ++connection.part;
    connection.offset = 0;
    Send(connection);
    return;
  }
  connection.socket.async_write_some(
      boost::asio::buffer(part.data() + connection.offset,
                          part.size() - connection.offset),
      [this, &connection](const boost::system::error_code& error,
                          std::size_t count) {
        if (error) {
          --sending_;
          return;
        }
        sent_ += count;
        connection.offset += count;
        Send(connection);
      });
}

}  // namespace foxquay::platform::crowds
