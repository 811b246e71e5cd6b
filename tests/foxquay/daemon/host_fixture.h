#ifndef FOXQUAY_TESTS_DAEMON_HOST_FIXTURE_H_
#define FOXQUAY_TESTS_DAEMON_HOST_FIXTURE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/http/client.h"
#include "process.h"

namespace foxquay::daemon {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A streamed answer as its caller saw it.
struct Streamed {
  std::vector<std::pair<std::uint32_t, std::string>> tokens;
  std::string outcome;  ///< Empty if no final event arrived.
};

/// One host with fake upstreams on loopback.
class HostFixture {
 public:
  HostFixture();
  ~HostFixture();
  HostFixture(const HostFixture&) = delete;
  HostFixture& operator=(const HostFixture&) = delete;

  /// Starts a fake upstream that announces itself to the host.
  Process& StartModel(const std::string& id, std::uint32_t first,
                      std::uint32_t last, std::uint32_t layers,
                      const std::vector<std::string>& options = {});
  Process& StartService(const std::string& id,
                        const std::vector<std::string>& options = {});

  /// Waits until a completion of the model, or a service call, succeeds.
  bool AwaitModelReady();
  bool AwaitServiceReady();

  http::ServiceResult Send(const std::string& method, const std::string& path,
                           const std::string& body, const Headers& headers);
  /// Sends a completion and returns its body as JSON text.
  http::ServiceResult Complete(const std::string& prompt, std::uint32_t tokens);
  Streamed Stream(const std::string& prompt, std::uint32_t tokens);

  /// Returns the execution lines of an upstream, without those of AwaitModel
  /// and AwaitService.
  std::vector<std::string> Log(const std::string& id) const;

  Process& host() { return *host_; }
  [[nodiscard]] const std::string& caller() const { return caller_; }
  [[nodiscard]] std::string HostLog() const { return directory_ + "/host.log"; }

 private:
  Process& Start(std::vector<std::string> command, const std::string& id,
                 const std::vector<std::string>& options);

  std::string directory_;
  std::string caller_;
  std::string upstream_;
  std::optional<Process> host_;
  std::list<Process> upstreams_;
  std::map<std::string, std::size_t> ignored_;  ///< Log lines to skip.
};

/// Checks a streamed answer against the fakes' rule: every index once, in
/// order, with the token that all layers make of the prompt.
bool IsCompleteStream(const Streamed& streamed, const std::string& prompt,
                      std::uint32_t tokens, std::uint32_t layers);

/// Returns how often each (request, epoch, token, layer) line occurs.
std::map<std::string, int> CountLines(const std::vector<std::string>& lines);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_HOST_FIXTURE_H_
