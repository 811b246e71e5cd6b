#include "platform/crowds/endless_upstream.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace foxquay::platform::crowds {

EndlessUpstream::EndlessUpstream(boost::asio::io_context& context,
                                 std::vector<EndlessAnswer> answers)
    : acceptor_(context, net::ParseEndpoint("127.0.0.1:0").value()),
      answers_(std::move(answers)) {
  Accept();
}

std::string EndlessUpstream::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void EndlessUpstream::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, net::Tcp::socket socket) {
        if (error) return;
        ++open_;
        Read(connections_.emplace_back(std::move(socket)));
        Accept();
      });
}

void EndlessUpstream::Read(Connection& connection) {
  constexpr std::size_t kReadBytes = 4096;
  const std::size_t size = connection.request.size();
  connection.request.resize(size + kReadBytes);
  connection.socket.async_read_some(
      boost::asio::buffer(connection.request.data() + size, kReadBytes),
      [this, &connection, size](const boost::system::error_code& error,
                                std::size_t count) {
        connection.request.resize(size + count);
        if (error) {
          --open_;
        } else if (connection.request.find("\r\n\r\n") == std::string::npos) {
          Read(connection);
        } else {
          const EndlessAnswer& answer = answers_[begun_++ % answers_.size()];
          connection.out = answer.begin;
          Write(connection, answer);
        }
      });
}

void EndlessUpstream::Write(Connection& connection,
                            const EndlessAnswer& answer) {
  connection.socket.async_write_some(
      boost::asio::buffer(connection.out),
      [this, &connection, &answer](const boost::system::error_code& error,
                                   std::size_t count) {
        if (error) {
          --open_;
          return;
        }
        connection.out.erase(0, count);
        if (connection.out.empty()) connection.out = answer.repeated;
        Write(connection, answer);
      });
}

}  // namespace foxquay::platform::crowds
