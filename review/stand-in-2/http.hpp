// Blocking HTTP/1.1 over loopback sockets, enough for stand-ins of clients,
// servers and the platform's store.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct address
{
  std::string mIp = "127.0.0.1";
  std::uint16_t mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

// Names are in lower case.
using headers = std::map<std::string, std::string>;

// The value of a header; empty if there is none.
std::string HeaderOf(const headers& aHeaders, const std::string& aName);

struct http_call
{
  std::string mMethod = "GET";
  std::string mTarget;
  headers mHeaders;
  std::string mBody;
};

struct http_answer
{
  // Zero if no whole head arrived.
  int mStatus = 0;
  headers mHeaders;
  std::string mBody;
  // The body arrived up to its end.
  bool mWhole = false;
};

// A connected socket, closed on destruction. Not shared by threads, except for
// Break.
class connection
{
public:
  explicit connection(int aSocket);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool Write(std::string_view aBytes);
  // Returns the next bytes; empty at the end or after the time.
  std::string Read(milliseconds aTime);
  // Reads a message's start line and headers; nothing if the peer closed.
  std::optional<std::string> ReadHead(milliseconds aTime);
  // Reads bytes of a body of this length.
  std::optional<std::string> ReadExactly(std::size_t aBytes,
                                         clock::time_point aUntil);
  // Reads a line without its end.
  std::optional<std::string> ReadLine(clock::time_point aUntil);
  // Ends the connection; aReset: without an orderly close.
  void Break(bool aReset);

private:
  bool Fill(clock::time_point aUntil);

  const int mSocket;
  std::string mBuffer;
};

using connection_ptr = std::shared_ptr<connection>;

// Returns null if the connection is refused or takes too long.
connection_ptr Connect(const address& aTo, milliseconds aTime);

// Sends a call on a connection of its own. aOnPiece gets the pieces of the body
// as they come, and ends the call by returning false.
http_answer Call(const address& aTo,
                 const http_call& aCall,
                 milliseconds aTime,
                 const std::function<bool(const std::string&)>& aOnPiece = {});

// Encodes an answer with the length of its body.
std::string ToText(int aStatus,
                   const headers& aHeaders,
                   const std::string& aBody);

// Serves connections, each on a thread of its own.
class http_server
{
public:
  // Returns whether the connection stays open.
  using handler = std::function<bool(const http_call&, connection&)>;

  // Port 0 takes any free one.
  http_server(address aListen, handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  const address& Address() const { return mAddress; }
  // Stops listening and breaks all connections, as a process that ends does.
  void Crash();
  // Listens again on the same address, which may take a while. Returns whether
  // it does.
  bool TryRestart();

private:
  struct state;

  void Restart();

  address mAddress;
  std::shared_ptr<state> mState;
};

// The first port from aFrom that is free on this address.
std::uint16_t FreePort(const std::string& aIp, std::uint16_t aFrom);

} // namespace review
