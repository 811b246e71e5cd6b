#include "foxquay/log/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

#include "foxquay/log/non_blocking_writer.h"

namespace foxquay::log {
namespace internal {

log4cplus::LogLevel ToLogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// Writes the lines of log4cplus to standard output without blocking.
class StdoutAppender : public log4cplus::Appender {
 public:
  StdoutAppender() : writer_(STDOUT_FILENO) {}
  ~StdoutAppender() override { destructorImpl(); }
  StdoutAppender(const StdoutAppender&) = delete;
  StdoutAppender& operator=(const StdoutAppender&) = delete;
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    writer_.Write(formatEvent(event));
  }

 private:
  NonBlockingWriter writer_;
};

log4cplus::Logger& Root() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger root = log4cplus::Logger::getRoot();
  return root;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char byte) {
           return byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' ||
                  byte == 0x7f;
         });
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char byte : value) {
    if (byte == '"' || byte == '\\') line += '\\';
    line += std::iscntrl(static_cast<unsigned char>(byte)) != 0 ? ' ' : byte;
  }
  line += '"';
}

}  // namespace internal

void Configure(Level level, const std::string& file) {
  log4cplus::Logger& root = internal::Root();
  root.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender;
  if (file.empty()) {
    appender = new internal::StdoutAppender();
  } else {
    appender = new log4cplus::FileAppender(file, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
  root.addAppender(appender);
  root.setLogLevel(internal::ToLogLevel(level));
}

void SetLevel(Level level) {
  internal::Root().setLogLevel(internal::ToLogLevel(level));
}

Level ParseLevel(std::string_view name) noexcept {
  if (name == "debug") return Level::kDebug;
  if (name == "warn") return Level::kWarn;
  if (name == "error") return Level::kError;
  return Level::kInfo;
}

std::string Format(std::string_view event,
                   std::initializer_list<Field> fields) {
  std::string line = "event=" + std::string(event);
  for (const Field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    internal::AppendValue(line, field.value);
  }
  return line;
}

void Write(Level level, std::string_view event,
           std::initializer_list<Field> fields) {
  WriteLine(level, Format(event, fields));
}

void WriteLine(Level level, const std::string& line) {
  log4cplus::Logger& root = internal::Root();
  root.log(internal::ToLogLevel(level), line);
}

}  // namespace foxquay::log
