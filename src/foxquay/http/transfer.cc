#include "foxquay/http/transfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <memory>

#include "foxquay/net/grammar.h"

namespace foxquay::http {
namespace internal {

/// Maximum size in bytes of the heads and the trailer of a response, as of
/// net::Client.
constexpr std::size_t kMaxHeadBytes = 65536;

/// Removes spaces and tabs from both ends of a text.
std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const std::size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) return {};
  const std::size_t end = text.find_last_not_of(kSpace);
  return text.substr(begin, end - begin + 1);
}

/// Reads the head of a response line by line. libcurl reports success if the
/// connection closes after the status line, and takes each status and each name
/// of a field; a line that is no part of a response ends the call.
class HeadReader {
 public:
  /// Reads the next line of a head, or of the trailer, which is not kept.
  /// Returns false if it is malformed, or if all lines together are too long.
  [[nodiscard]] bool Put(std::string_view line) {
    bytes_ += line.size();
    if (bytes_ > kMaxHeadBytes) return false;
    if (line.ends_with('\n')) line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (whole()) return line.empty() || ReadTrailer(line);
    if (!in_head_) return Begin(line);
    if (!line.empty()) return ReadField(line, head_.headers);
    in_head_ = false;
    ended_ = true;
    return IsFramed();
  }

  /// Returns whether the head has ended and is not that of an interim response.
  [[nodiscard]] bool whole() const noexcept {
    return ended_ && net::IsFinalStatus(head_.status);
  }
  [[nodiscard]] TransferHead& head() noexcept { return head_; }

 private:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  [[nodiscard]] bool Begin(std::string_view line) {
    // HTTP/1.x, a space, three digits, and nothing or a space and the reason.
    constexpr std::string_view kVersion = "HTTP/1.";
    constexpr std::size_t kStatusAt = kVersion.size() + 2;
    constexpr std::size_t kEnd = kStatusAt + 3;
    head_ = {};
    in_head_ = true;
    ended_ = false;
    const bool whole_line = line.starts_with(kVersion) && line.size() >= kEnd &&
                            line[kStatusAt - 1] == ' ' &&
                            net::IsLength(line.substr(kStatusAt, 3)) &&
                            (line.size() == kEnd || line[kEnd] == ' ');
    if (!whole_line) return false;
    std::from_chars(line.data() + kStatusAt, line.data() + kEnd, head_.status);
    return net::IsFinalStatus(head_.status) ||
           net::IsInterimStatus(head_.status);
  }

  [[nodiscard]] static bool ReadField(std::string_view line, Fields& fields) {
    if (!net::IsFieldValue(line)) return false;
    if (line.front() == ' ' || line.front() == '\t') {
      // The line continues the value before it (RFC 9112, 5.2).
      if (fields.empty()) return false;
      fields.back().second += ' ';
      fields.back().second += Trim(line);
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = line.substr(0, colon);
    if (!net::IsToken(name)) return false;
    fields.emplace_back(name, Trim(line.substr(colon + 1)));
    return true;
  }

  [[nodiscard]] bool ReadTrailer(std::string_view line) {
    if (!ReadField(line, trailer_)) return false;
    // One field is left for a line that continues it.
    trailer_.assign(1, {});
    return true;
  }

  /// Returns whether the head states one framing at most: a length, chunks or
  /// the end of the connection. Other codings would change the body.
  [[nodiscard]] bool IsFramed() const {
    std::size_t stated = 0;
    for (const auto& [name, value] : head_.headers) {
      const char* const text = value.c_str();
      if (curl_strequal(name.c_str(), "Content-Length") != 0) {
        ++stated;
        if (!net::IsLength(value)) return false;
      } else if (curl_strequal(name.c_str(), "Transfer-Encoding") != 0) {
        ++stated;
        if (curl_strequal(text, "chunked") == 0 &&
            curl_strequal(text, "identity") == 0) {
          return false;
        }
      }
    }
    return stated <= 1;
  }

  TransferHead head_;
  Fields trailer_;
  std::size_t bytes_ = 0;  ///< Of all heads and the trailer.
  bool in_head_ = false;
  bool ended_ = false;
};

/// A list of header lines for libcurl.
class HeaderLines {
 public:
  HeaderLines() = default;
  ~HeaderLines() { curl_slist_free_all(lines_); }
  HeaderLines(const HeaderLines&) = delete;
  HeaderLines& operator=(const HeaderLines&) = delete;

  void Add(const std::string& line) {
    curl_slist* const longer = curl_slist_append(lines_, line.c_str());
    if (longer != nullptr) lines_ = longer;
  }
  [[nodiscard]] curl_slist* get() const noexcept { return lines_; }

 private:
  curl_slist* lines_ = nullptr;
};

std::size_t ReadHeadLine(char* data, std::size_t size, std::size_t count,
                         void* reader) {
  // Any other number than that of the bytes ends the call.
  const bool valid =
      static_cast<HeadReader*>(reader)->Put({data, size * count});
  return valid ? size * count : 0;
}

std::size_t ReadBody(char* data, std::size_t size, std::size_t count,
                     void* on_bytes) {
  const auto& consumer =
      *static_cast<const std::function<bool(std::string_view)>*>(on_bytes);
  return consumer({data, size * count}) ? size * count : 0;
}

void AddHeaders(const TransferRequest& request, HeaderLines& lines) {
  bool has_type = false;
  for (const auto& [name, value] : request.headers) {
    has_type = has_type || curl_strequal(name.c_str(), "Content-Type") != 0;
    // This form is libcurl's for a header with an empty value.
    lines.Add(value.empty() ? name + ";" : name + ": " + value);
  }
  // These keep libcurl from adding its own ones.
  if (!has_type) lines.Add("Content-Type:");
  lines.Add("Expect:");
}

void SetBody(CURL* handle, const TransferRequest& request) {
  const bool takes_body = request.method == "POST" || request.method == "PUT" ||
                          request.method == "PATCH";
  if (request.body.empty() && !takes_body) return;
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(request.body.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
}

}  // namespace internal

std::optional<TransferHead> Transfer(
    const TransferRequest& request,
    const std::function<bool(std::string_view)>& on_bytes) {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(
      curl_easy_init(), &curl_easy_cleanup);
  if (kInitialized != CURLE_OK || !handle) return std::nullopt;
  internal::HeaderLines lines;
  internal::AddHeaders(request, lines);
  internal::HeadReader reader;
  std::function<bool(std::string_view)> consumer = on_bytes;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(request.timeout).count();
  CURL* const curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  // Ignores proxy settings in the environment.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
  internal::SetBody(curl, request);
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, lines.get());
  curl_easy_setopt(curl, CURLOPT_TIMEOUT,
                   static_cast<long>(std::max<std::int64_t>(seconds, 1)));
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, internal::ReadHeadLine);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reader);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, internal::ReadBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &consumer);
  if (curl_easy_perform(curl) != CURLE_OK || !reader.whole()) {
    return std::nullopt;
  }
  return std::move(reader.head());
}

}  // namespace foxquay::http
