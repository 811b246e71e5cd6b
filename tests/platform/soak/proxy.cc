#include "platform/soak/proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "foxquay/net/socket.h"
#include "platform/soak/after.h"

namespace foxquay::platform::soak {

Proxy::Proxy(boost::asio::io_context& context, const std::string& ip)
    : context_(context),
      acceptor_(context, Tcp::endpoint(boost::asio::ip::make_address(ip), 0)) {
  address_ = ip + ":" + std::to_string(acceptor_.local_endpoint().port());
  Accept();
}

void Proxy::SetTarget(const std::string& address) {
  target_ = net::ParseEndpoint(address).value();
}

void Proxy::SetBlocked(std::size_t direction, bool blocked) {
  blocked_[direction] = blocked;
  if (blocked) return;
  std::vector<std::uint64_t> pending;
  for (auto& [id, connection] : connections_) {
    Side& side = connection.sides[direction];
    if (std::exchange(side.write_pending, false)) pending.push_back(id);
  }
  for (const std::uint64_t id : pending) Write(id, direction);
}

void Proxy::Reset() {
  for (auto& [id, connection] : connections_) {
    for (Side& side : connection.sides) {
      boost::system::error_code ignored;
      side.socket.set_option(boost::asio::socket_base::linger(true, 0),
                             ignored);
      side.socket.close(ignored);
    }
  }
  connections_.clear();
}

void Proxy::Accept() {
  const std::uint64_t id = next_id_++;
  auto& connection = connections_.try_emplace(id, context_).first->second;
  acceptor_.async_accept(connection.sides[0].socket,
                         [this, id](const boost::system::error_code& error) {
                           Accept();
                           if (!connections_.contains(id)) return;
                           if (error) {
                             connections_.erase(id);
                           } else {
                             Connect(id);
                           }
                         });
}

void Proxy::Connect(std::uint64_t id) {
  Connection& connection = connections_.at(id);
  connection.sides[1].socket.async_connect(
      target_, [this, id](const boost::system::error_code& error) {
        if (!connections_.contains(id)) return;
        if (error) {
          // Resets the client, as a host without a listener does.
          boost::system::error_code ignored;
          connections_.at(id).sides[0].socket.set_option(
              boost::asio::socket_base::linger(true, 0), ignored);
          connections_.erase(id);
          return;
        }
        Read(id, 0);
        Read(id, 1);
      });
}

void Proxy::Read(std::uint64_t id, std::size_t from) {
  Side& side = connections_.at(id).sides[from];
  side.socket.async_read_some(
      boost::asio::buffer(side.data),
      [this, id, from](const boost::system::error_code& error,
                       std::size_t size) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) return;
        found->second.sides[from].size = size;
        if (error) {
          HandleReadEnd(id, from);
        } else if (delay_ > core::Duration::zero()) {
          After(context_, delay_, [this, id, from] { Forward(id, from); });
        } else {
          Forward(id, from);
        }
      });
}

void Proxy::Forward(std::uint64_t id, std::size_t from) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second.sides[from].write_pending = blocked_[from];
  if (!blocked_[from]) Write(id, from);
}

void Proxy::Write(std::uint64_t id, std::size_t from) {
  Connection& connection = connections_.at(id);
  const Side& side = connection.sides[from];
  boost::asio::async_write(
      connection.sides[1 - from].socket,
      boost::asio::buffer(side.data, side.size),
      [this, id, from](const boost::system::error_code& error, std::size_t) {
        if (!connections_.contains(id)) return;
        if (error) {
          connections_.erase(id);
        } else {
          Read(id, from);
        }
      });
}

void Proxy::HandleReadEnd(std::uint64_t id, std::size_t from) {
  Connection& connection = connections_.at(id);
  connection.sides[from].read_ended = true;
  boost::system::error_code ignored;
  connection.sides[1 - from].socket.shutdown(Tcp::socket::shutdown_send,
                                             ignored);
  if (connection.sides[1 - from].read_ended) connections_.erase(id);
}

}  // namespace foxquay::platform::soak
