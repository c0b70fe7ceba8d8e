// Blocking TCP connections with deadlines, and HTTP/1.1 messages on them. For
// the stand-ins of the review; one thread serves each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using milliseconds = std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

struct address
{
  std::string mHost = "127.0.0.1";
  std::uint16_t mPort = 0;

  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

struct http_message
{
  // The request line or the status line, without its end.
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  // Returns the first header with this name, or an empty text.
  std::string Header(std::string_view aName) const;
  // Of a response; 0 if it has no status.
  int Status() const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
};

class connection
{
public:
  explicit connection(int aSocket);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Returns null if the peer cannot be reached in time.
  static std::unique_ptr<connection> Open(const address& aPeer,
                                          milliseconds aTimeout);

  // Different for each connection of this process.
  std::uint64_t Number() const { return mNumber; }
  bool Write(std::string_view aBytes);
  // Returns a complete message, or nothing if the connection ends or the time
  // is over before.
  std::optional<http_message> Read(steady_time aUntil);
  // Whether the peer has closed, or closes within this time. Bytes that arrive
  // meanwhile are kept.
  bool ClosesWithin(milliseconds aTime);
  // Makes blocked calls in other threads return.
  void Shutdown();

private:
  enum class fill_result
  {
    Bytes,
    Closed,
    Timeout,
  };
  fill_result Fill(steady_time aUntil);
  bool ReadBody(http_message& aMessage, steady_time aUntil);
  std::optional<std::string> TakeLine(steady_time aUntil);

  int mSocket;
  const std::uint64_t mNumber;
  std::string mBuffer;
};

// Accepts connections and serves each in a thread of its own.
class listener
{
public:
  using serve_hook = std::function<void(connection&)>;

  // Listens at a port of aHost; zero for a free one.
  listener(const std::string& aHost,
           serve_hook aServe,
           std::uint16_t aPort = 0);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  address Where() const { return mWhere; }
  // Refuses new connections and ends those that are open.
  void Close();

private:
  struct worker
  {
    std::thread mThread;
    std::shared_ptr<std::atomic<bool>> mDone;
  };

  void Accept();
  void JoinDone();

  address mWhere;
  serve_hook mServe;
  int mSocket = -1;
  std::atomic<bool> mClosed{ false };
  std::mutex mMutex;
  std::vector<worker> mWorkers;
  std::vector<std::weak_ptr<connection>> mOpen;
  std::thread mAcceptor;
};

std::string ToText(const http_message& aMessage);

// Returns a response with a Content-Length.
http_message MakeResponse(
  int aStatus,
  std::vector<std::pair<std::string, std::string>> aHeaders,
  std::string aBody);

// Returns a port at which nothing listens now.
std::uint16_t FreePort(const std::string& aHost);

} // namespace review
