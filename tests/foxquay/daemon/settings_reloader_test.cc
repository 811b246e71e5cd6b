#include "foxquay/daemon/settings_reloader.h"

#include <signal.h>  // NOLINT: SIGHUP is not in <csignal>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

#include "cluster.h"
#include "foxquay/settings/settings.h"

namespace foxquay::daemon {
namespace {

constexpr const char* kSettings =
    "host: {id: h, data_centre: d, region: r, roles: [entry]}\n"
    "listeners: {caller: \"127.0.0.1:1\", upstream: \"127.0.0.1:2\", "
    "admin: \"127.0.0.1:3\", peer: \"127.0.0.1:4\"}\n"
    "security: {cluster: c, open: true, upstream_networks: [127.0.0.0/8]}\n";

/// A settings file that is deleted at the end of a test.
class SettingsFile {
 public:
  SettingsFile() { Write("127.0.0.9:5", ""); }
  ~SettingsFile() { std::filesystem::remove(path_); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  void Write(const std::string& seed, const std::string& more) {
    std::ofstream(path_) << kSettings << "join: {seeds: [\"" << seed << "\"]}\n"
                         << more;
    // Two writes may get the same time stamp from the file system.
    written_ += std::chrono::seconds(1);
    std::filesystem::last_write_time(path_, written_);
  }
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] schema::Settings Load() const {
    return settings::Load(path_).settings;
  }

 private:
  std::string path_ =
      "/tmp/foxquay-reload-" + std::to_string(getpid()) + ".yaml";
  std::filesystem::file_time_type written_ =
      std::filesystem::file_time_type::clock::now();
};

}  // namespace

TEST_CASE("keys that need no restart are returned, others keep their value") {
  SettingsFile file;
  SettingsReloader reloader(file.path(), file.Load());
  CHECK_FALSE(reloader.Changed());
  file.Write("127.0.0.8:5", "log: {level: debug}\nlimits: {revocation: 1s}\n");
  REQUIRE(reloader.Changed());
  const auto settings = reloader.Read();
  REQUIRE(settings);
  CHECK(settings->join.seeds == std::vector<std::string>{"127.0.0.8:5"});
  CHECK(settings->log.level == "debug");
  CHECK(settings->limits.revocation == schema::Settings().limits.revocation);
  CHECK_FALSE(reloader.Changed());
  CHECK_FALSE(reloader.Read());
}

// Guards against a host that applies part of an invalid file, or that ends.
TEST_CASE("an invalid or missing file changes nothing") {
  SettingsFile file;
  SettingsReloader reloader(file.path(), file.Load());
  file.Write("127.0.0.8:5", "nonsense: 1\n");
  CHECK(reloader.Changed());
  CHECK_FALSE(reloader.Read());
  std::filesystem::remove(file.path());
  CHECK_FALSE(reloader.Changed());
  CHECK_FALSE(reloader.Read());
  file.Write("127.0.0.8:5", "");
  CHECK(reloader.Changed());
  CHECK(reloader.Read());
}

// Guards against a host that SIGHUP ends, which is the default action of this
// signal.
TEST_CASE("a host keeps running after SIGHUP") {
  Cluster cluster(1, 1);
  REQUIRE(cluster.AwaitAdmitting(0));
  cluster.Signal(0, SIGHUP);
  REQUIRE(Await([&] { return cluster.Logged(0, "event=settings_read"); }));
  CHECK(cluster.SetTtl(0, 1000, 0, "after").status == 200);
}

}  // namespace foxquay::daemon
