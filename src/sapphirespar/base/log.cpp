// Writes log lines with log4cplus.
#include "sapphirespar/base/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <utility>

namespace sapphirespar {
namespace {

// False until StartLog has been called, so that tests log nothing.
std::atomic<bool> sStarted{ false };
std::string sNode;
std::atomic<std::uint64_t> sDropped{ 0 };

log4cplus::LogLevel
ToLibraryLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || std::ranges::any_of(aValue, [](char aByte) {
           return static_cast<unsigned char>(aByte) <= ' ' || aByte == '"' ||
                  aByte == '=' || aByte == '\\';
         });
}

// Writes lines to standard output without blocking.
class nonblocking_stdout_appender : public log4cplus::Appender
{
public:
  nonblocking_stdout_appender()
  {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  ~nonblocking_stdout_appender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  // log4cplus never calls this concurrently.
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    // About one second of log lines of the busiest gateway.
    constexpr std::size_t kMaxBacklogBytes = 256 * 1024;
    if (mBacklog.size() > kMaxBacklogBytes) {
      Flush();
    }
    if (mBacklog.size() > kMaxBacklogBytes) {
      ++sDropped;
      ++mUnreportedDrops;
      return;
    }
    if (mUnreportedDrops > 0) {
      mBacklog += "level=WARN node=" + sNode +
                  " event=log_lines_dropped lines=" +
                  std::to_string(std::exchange(mUnreportedDrops, 0)) + '\n';
    }
    mBacklog += formatEvent(aEvent);
    Flush();
  }

private:
  void Flush()
  {
    const auto count = ::write(STDOUT_FILENO, mBacklog.data(), mBacklog.size());
    if (count > 0) {
      mBacklog.erase(0, static_cast<std::size_t>(count));
    }
  }

  // Bytes that standard output has not accepted yet.
  std::string mBacklog;
  // Dropped lines that no log_lines_dropped event has reported yet.
  std::uint64_t mUnreportedDrops = 0;
};

log4cplus::SharedAppenderPtr
MakeAppender(log_target aTarget)
{
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  return log4cplus::SharedAppenderPtr(
    aTarget == log_target::StandardOutput
      ? static_cast<log4cplus::Appender*>(new nonblocking_stdout_appender)
      : new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
}

} // namespace

std::uint64_t
DroppedLogLines()
{
  return sDropped;
}

std::string
QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(byte) < ' ' ? ' ' : byte;
  }
  return quoted + '"';
}

void
StartLog(log_level aLevel, std::string_view aNode, log_target aTarget)
{
  static log4cplus::Initializer initializer;
  // A reader of the log that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto root = log4cplus::Logger::getRoot();
  root.setLogLevel(ToLibraryLevel(aLevel));
  if (sStarted) {
    return;
  }
  auto appender = MakeAppender(aTarget);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  root.addAppender(appender);
  sNode = QuoteLogValue(aNode);
  sStarted = true;
}

void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  if (!sStarted) {
    return;
  }
  auto root = log4cplus::Logger::getRoot();
  const auto level = ToLibraryLevel(aLevel);
  if (!root.isEnabledFor(level)) {
    return;
  }
  std::string line = "node=" + sNode + " event=" + QuoteLogValue(aEvent);
  for (const auto& field : aFields) {
    line += ' ';
    line += field.mKey;
    line += '=';
    line += QuoteLogValue(field.mValue);
  }
  root.forcedLog(level, line);
}

} // namespace sapphirespar
