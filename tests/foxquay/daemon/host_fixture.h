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

/// A streamed answer as received by its caller.
struct Streamed {
  std::vector<std::pair<std::uint32_t, std::string>> tokens;  ///< Index, text.
  std::string outcome;  ///< Empty if no final event arrived.
};

/// One foxquayd process and fake upstreams on loopback. Not thread-safe, except
/// that requests may be sent while others run.
class HostFixture {
 public:
  HostFixture();
  ~HostFixture();
  HostFixture(const HostFixture&) = delete;
  HostFixture& operator=(const HostFixture&) = delete;

  /// Starts a fake upstream that announces itself to the host and holds the
  /// layers `first` to `last` of a model with `layers` layers, or the service
  /// `desk`.
  Process& StartModel(const std::string& id, std::uint32_t first,
                      std::uint32_t last, std::uint32_t layers,
                      const std::vector<std::string>& options = {});
  Process& StartService(const std::string& id,
                        const std::vector<std::string>& options = {});

  /// Waits until a completion or a service call succeeds; returns whether it
  /// did. Log lines written so far are ignored by Log.
  bool AwaitModelReady();
  bool AwaitServiceReady();

  http::ServiceResult Send(const std::string& method, const std::string& path,
                           const std::string& body, const Headers& headers);
  /// Sends a completion; the body of the reply is JSON.
  http::ServiceResult Complete(const std::string& prompt, std::uint32_t tokens);
  /// Sends a streaming completion and blocks until its stream has ended.
  Streamed Stream(const std::string& prompt, std::uint32_t tokens);

  /// Returns the lines that an upstream wrote for each execution, without those
  /// of AwaitModelReady and AwaitServiceReady.
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
  std::map<std::string, std::size_t> ignored_;  ///< Lines to skip in each log.
};

/// Returns whether a streamed answer is complete: every index once, in order,
/// and each token equal to fakes::ExpectedToken, i.e. computed by all layers.
bool IsCompleteStream(const Streamed& streamed, const std::string& prompt,
                      std::uint32_t tokens, std::uint32_t layers);

/// Returns how often each (request, epoch, token, layer) line occurs.
std::map<std::string, int> CountLines(const std::vector<std::string>& lines);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_HOST_FIXTURE_H_
