// Tests of log lines and of logging to a stalled reader.
#include "sapphirespar/base/log.hpp"

#include <gtest/gtest.h>

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

TEST(LogValue, QuotesOnlyWhereNeeded)
{
  EXPECT_EQ(QuoteLogValue("plain"), "plain");
  EXPECT_EQ(QuoteLogValue("two words"), "\"two words\"");
  EXPECT_EQ(QuoteLogValue("a=\"b\""), "\"a=\\\"b\\\"\"");
  EXPECT_EQ(QuoteLogValue(""), "\"\"");
}

TEST(LogValue, ReplacesLineBreaks)
{
  EXPECT_EQ(QuoteLogValue("one\ntwo"), "\"one two\"");
}

constexpr int kBurstLines = 20'000;

struct pipe_ends
{
  pipe_ends() { EXPECT_EQ(::pipe(mEnds.data()), 0); }

  int Reader() const { return mEnds[0]; }
  int Writer() const { return mEnds[1]; }

  std::array<int, 2> mEnds{};
};

// Runs in a child process. Logs far more than the pipe and the backlog hold,
// writes a byte to aReady, and continues to log until aStop is readable.
// Returns the exit status: 0 if logging never blocked and lines were dropped.
int
LogABurst(int aReady, int aStop)
{
  StartLog(log_level::Info, "vm", log_target::StandardOutput);
  const auto start = std::chrono::steady_clock::now();
  for (int line = 0; line < kBurstLines; ++line) {
    LogEvent(log_level::Info, "burst", { { "text", std::string(100, 'x') } });
  }
  const bool blocked = std::chrono::steady_clock::now() - start > 5s;
  const char ready = 'r';
  const bool reported = ::write(aReady, &ready, 1) == 1;
  pollfd stop{ aStop, POLLIN, 0 };
  for (int line = 0; ::poll(&stop, 1, 1) == 0; ++line) {
    LogEvent(log_level::Info, "later", { { "line", line } });
  }
  return !blocked && reported && DroppedLogLines() > 0 ? 0 : 1;
}

int
NumberAtEnd(const std::string& aLine)
{
  return std::stoi(aLine.substr(aLine.rfind('=') + 1));
}

bool
IsEvent(const std::string& aLine, std::string_view aEvent)
{
  return aLine.find(" event=" + std::string(aEvent) + ' ') != std::string::npos;
}

TEST(LogOutput, DropsAndReportsLinesWhenTheReaderStalls)
{
  const pipe_ends output;
  const pipe_ends ready;
  const pipe_ends stop;
  const auto child = ::fork();
  if (child == 0) {
    ::dup2(output.Writer(), STDOUT_FILENO);
    ::_exit(LogABurst(ready.Writer(), stop.Reader()));
  }
  ::close(output.Writer());
  char byte = 0;
  ASSERT_EQ(::read(ready.Reader(), &byte, 1), 1);
  auto* const lines = ::fdopen(output.Reader(), "r");
  int kept = 0;
  int dropped = 0;
  int firstLater = -1;
  std::array<char, 4096> buffer{};
  while (firstLater < 0 &&
         std::fgets(buffer.data(), buffer.size(), lines) != nullptr) {
    const std::string line(buffer.data());
    ASSERT_NE(line.find("node=vm event="), std::string::npos) << line;
    kept += IsEvent(line, "burst") ? 1 : 0;
    dropped += IsEvent(line, "log_lines_dropped") ? NumberAtEnd(line) : 0;
    firstLater = IsEvent(line, "later") ? NumberAtEnd(line) : firstLater;
  }
  EXPECT_GT(dropped, 0);
  EXPECT_EQ(kept + dropped, kBurstLines + firstLater);
  ASSERT_EQ(::write(stop.Writer(), &byte, 1), 1);
  while (std::fgets(buffer.data(), buffer.size(), lines) != nullptr) {
  }
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  EXPECT_EQ(WEXITSTATUS(status), 0);
  std::fclose(lines);
}

// Runs in a child process, whose log nobody reads any more.
int
LogWithoutReader(const pipe_ends& aOutput)
{
  ::dup2(aOutput.Writer(), STDOUT_FILENO);
  ::close(aOutput.Writer());
  ::close(aOutput.Reader());
  StartLog(log_level::Info, "vm", log_target::StandardOutput);
  for (int line = 0; line < kBurstLines; ++line) {
    LogEvent(log_level::Info, "burst", { { "text", std::string(100, 'x') } });
  }
  return DroppedLogLines() > 0 ? 0 : 1;
}

TEST(Log, AReaderThatGoesAwayDoesNotEndTheProcess)
{
  const pipe_ends output;
  const auto child = ::fork();
  if (child == 0) {
    ::_exit(LogWithoutReader(output));
  }
  ::close(output.Writer());
  ::close(output.Reader());
  int status = 0;
  ASSERT_EQ(::waitpid(child, &status, 0), child);
  ASSERT_TRUE(WIFEXITED(status)) << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

} // namespace
} // namespace sapphirespar
