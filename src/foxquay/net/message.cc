#include "foxquay/net/message.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/range/iterator_range.hpp>
#include <cassert>
#include <cstdio>
#include <utility>
#include <vector>

namespace foxquay::net {
namespace internal {

namespace http = boost::beast::http;

void AppendFields(std::string& out, const Fields& fields) {
  for (const auto& field : fields) {
    out.append(field.name_string().data(), field.name_string().size());
    out += ": ";
    out.append(field.value().data(), field.value().size());
    out += "\r\n";
  }
}

std::string StatusLine(unsigned status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line.append(reason.data(), reason.size());
  return line + "\r\n";
}

const char* ConnectionLine(bool keep_alive) {
  return keep_alive ? "" : "Connection: close\r\n";
}

}  // namespace internal

Response MakeResponse(unsigned status, const std::string& type,
                      std::string body) {
  Response response;
  response.status = status;
  response.fields.set(internal::http::field::content_type, type);
  response.body = std::move(body);
  return response;
}

Response MakeRefusal(unsigned status, std::string_view reason,
                     std::optional<core::Duration> retry_after) {
  Response response =
      MakeResponse(status, "text/plain", std::string(reason) + "\n");
  if (retry_after) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(*retry_after).count());
    response.fields.set(internal::http::field::retry_after, text.data());
  }
  return response;
}

void RemoveHopByHopFields(Fields& fields) {
  using internal::http::field;
  std::vector<std::string> connection_options;
  for (const auto& [name, end] = fields.equal_range(field::connection);
       const auto& item : boost::make_iterator_range(name, end)) {
    for (const auto& token : internal::http::token_list(item.value())) {
      connection_options.emplace_back(token.data(), token.size());
    }
  }
  for (const std::string& name : connection_options) fields.erase(name);
  for (const field name :
       {field::connection, field::keep_alive, field::proxy_connection,
        field::te, field::trailer, field::transfer_encoding, field::upgrade,
        field::content_length, field::expect}) {
    fields.erase(name);
  }
}

std::string Serialize(const Request& request) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  internal::AppendFields(out, request.fields);
  if (!request.body.empty() || request.method != "GET") {
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return out + "\r\n" + request.body;
}

std::string Serialize(const Response& response, bool keep_alive) {
  std::string out = internal::StatusLine(response.status);
  internal::AppendFields(out, response.fields);
  out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  out += internal::ConnectionLine(keep_alive);
  return out + "\r\n" + response.body;
}

std::string SerializeHead(const Response& response, bool keep_alive) {
  std::string out = internal::StatusLine(response.status);
  internal::AppendFields(out, response.fields);
  out += "Transfer-Encoding: chunked\r\n";
  out += internal::ConnectionLine(keep_alive);
  return out + "\r\n";
}

std::string SerializeChunk(const std::string& data) {
  assert(!data.empty() && "an empty chunk ends a response");
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return std::string(size.data(), static_cast<std::size_t>(length)) + data +
         "\r\n";
}

}  // namespace foxquay::net
