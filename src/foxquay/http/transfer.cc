#include "foxquay/http/transfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <memory>

namespace foxquay::http {
namespace internal {

/// Reads the head of a response line by line. libcurl reports success if the
/// connection closes after the status line; the empty line shows that the head
/// is whole.
class HeadReader {
 public:
  void Put(std::string_view line) {
    if (whole()) return;
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
      line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (line.empty()) {
      ended_ = true;
    } else if (line.starts_with("HTTP/")) {
      Begin(line);
    } else if (colon != std::string_view::npos) {
      head_.headers.emplace_back(Trim(line.substr(0, colon)),
                                 Trim(line.substr(colon + 1)));
    }
  }

  /// Returns whether the head has ended and is not that of an interim response.
  [[nodiscard]] bool whole() const noexcept {
    return ended_ && head_.status / 100 > 1;
  }
  [[nodiscard]] TransferHead& head() noexcept { return head_; }

 private:
  void Begin(std::string_view status_line) {
    head_ = {};
    ended_ = false;
    const std::size_t space = status_line.find(' ');
    if (space == std::string_view::npos) return;
    const std::string_view status = status_line.substr(space + 1);
    std::from_chars(status.data(), status.data() + status.size(), head_.status);
  }

  static std::string Trim(std::string_view text) {
    constexpr std::string_view kSpace = " \t";
    const std::size_t begin = text.find_first_not_of(kSpace);
    if (begin == std::string_view::npos) return {};
    const std::size_t end = text.find_last_not_of(kSpace);
    return std::string(text.substr(begin, end - begin + 1));
  }

  TransferHead head_;
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
  static_cast<HeadReader*>(reader)->Put({data, size * count});
  return size * count;
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
