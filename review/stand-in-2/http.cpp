// Sockets and the framing of messages.
#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

sockaddr_in
ToSocketAddress(const address& aAddress)
{
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(aAddress.mPort);
  ::inet_pton(AF_INET, aAddress.mIp.c_str(), &target.sin_addr);
  return target;
}

int
LeftMs(clock::time_point aUntil)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aUntil - clock::now());
  return static_cast<int>(std::max<milliseconds::rep>(left.count(), 0));
}

bool
Await(int aSocket, short aEvents, clock::time_point aUntil)
{
  pollfd waiting{ aSocket, aEvents, 0 };
  return ::poll(&waiting, 1, LeftMs(aUntil)) > 0;
}

std::string
ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

std::string
Trim(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  const auto last = aText.find_last_not_of(" \t\r\n");
  return first == std::string::npos ? ""
                                    : aText.substr(first, last - first + 1);
}

// Returns the start line.
std::string
ParseHead(const std::string& aHead, headers& aInto)
{
  const auto end = aHead.find("\r\n");
  auto at = end + 2;
  while (at < aHead.size()) {
    const auto next = std::min(aHead.find("\r\n", at), aHead.size());
    const auto line = aHead.substr(at, next - at);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      aInto[ToLower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
    }
    at = next + 2;
  }
  return aHead.substr(0, end);
}

std::string
HeaderLines(const headers& aHeaders)
{
  std::string lines;
  for (const auto& [name, value] : aHeaders) {
    lines += name + ": " + value + "\r\n";
  }
  return lines;
}

int
Listen(address& aAddress)
{
  const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto local = ToSocketAddress(aAddress);
  auto* generic = reinterpret_cast<sockaddr*>(&local);
  socklen_t size = sizeof(local);
  constexpr int kBacklog = 512;
  if (::bind(listening, generic, size) != 0 ||
      ::listen(listening, kBacklog) != 0 ||
      ::getsockname(listening, generic, &size) != 0) {
    ::close(listening);
    throw std::runtime_error("cannot listen on " + aAddress.Text());
  }
  aAddress.mPort = ntohs(local.sin_port);
  return listening;
}

// Reads the body of an answer.
bool
ReadBody(connection& aConnection,
         http_answer& aAnswer,
         clock::time_point aUntil,
         const std::function<bool(const std::string&)>& aOnPiece)
{
  const auto add = [&](const std::string& aPiece) {
    aAnswer.mBody += aPiece;
    return !aOnPiece || aOnPiece(aPiece);
  };
  if (HeaderOf(aAnswer.mHeaders, "transfer-encoding") == "chunked") {
    constexpr int kHexadecimal = 16;
    while (true) {
      const auto line = aConnection.ReadLine(aUntil);
      if (!line || line->empty()) {
        return false;
      }
      const auto size = std::stoul(*line, nullptr, kHexadecimal);
      if (size == 0) {
        return aConnection.ReadLine(aUntil).has_value();
      }
      const auto chunk = aConnection.ReadExactly(size, aUntil);
      if (!chunk || !aConnection.ReadLine(aUntil) || !add(*chunk)) {
        return false;
      }
    }
  }
  const auto length = HeaderOf(aAnswer.mHeaders, "content-length");
  if (length.empty()) {
    return false;
  }
  const auto body = aConnection.ReadExactly(std::stoul(length), aUntil);
  return body && add(*body);
}

} // namespace

std::string
HeaderOf(const headers& aHeaders, const std::string& aName)
{
  const auto found = aHeaders.find(aName);
  return found == aHeaders.end() ? "" : found->second;
}

connection::connection(int aSocket)
  : mSocket(aSocket)
{
  const int on = 1;
  ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
  ::close(mSocket);
}

bool
connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto count =
      ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool
connection::Fill(clock::time_point aUntil)
{
  constexpr std::size_t kBytes = 16384;
  std::string bytes(kBytes, '\0');
  if (!Await(mSocket, POLLIN, aUntil)) {
    return false;
  }
  const auto count = ::recv(mSocket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

std::string
connection::Read(milliseconds aTime)
{
  if (mBuffer.empty()) {
    Fill(clock::now() + aTime);
  }
  return std::exchange(mBuffer, {});
}

std::optional<std::string>
connection::ReadHead(milliseconds aTime)
{
  constexpr std::string_view kEnd = "\r\n\r\n";
  const auto until = clock::now() + aTime;
  auto end = mBuffer.find(kEnd);
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = mBuffer.find(kEnd);
  }
  auto head = mBuffer.substr(0, end + 2);
  mBuffer.erase(0, end + kEnd.size());
  return head;
}

std::optional<std::string>
connection::ReadExactly(std::size_t aBytes, clock::time_point aUntil)
{
  while (mBuffer.size() < aBytes) {
    if (!Fill(aUntil)) {
      return std::nullopt;
    }
  }
  auto bytes = mBuffer.substr(0, aBytes);
  mBuffer.erase(0, aBytes);
  return bytes;
}

std::optional<std::string>
connection::ReadLine(clock::time_point aUntil)
{
  auto end = mBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return std::nullopt;
    }
    end = mBuffer.find("\r\n");
  }
  auto line = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return line;
}

void
connection::Break(bool aReset)
{
  if (aReset) {
    const linger none{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  }
  ::shutdown(mSocket, SHUT_RDWR);
}

connection_ptr
Connect(const address& aTo, milliseconds aTime)
{
  const int type = SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK;
  const int opened = ::socket(AF_INET, type, 0);
  auto target = ToSocketAddress(aTo);
  ::connect(opened, reinterpret_cast<sockaddr*>(&target), sizeof(target));
  int error = 0;
  socklen_t size = sizeof(error);
  const bool answered = Await(opened, POLLOUT, clock::now() + aTime);
  ::getsockopt(opened, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!answered || error != 0) {
    ::close(opened);
    return nullptr;
  }
  // Reads wait with poll, and writes block.
  const int flags = ::fcntl(opened, F_GETFL);
  ::fcntl(opened, F_SETFL, flags & ~O_NONBLOCK);
  return std::make_shared<connection>(opened);
}

http_answer
Call(const address& aTo,
     const http_call& aCall,
     milliseconds aTime,
     const std::function<bool(const std::string&)>& aOnPiece)
{
  const auto until = clock::now() + aTime;
  http_answer answer;
  const auto open = Connect(aTo, aTime);
  if (!open) {
    return answer;
  }
  auto lines = HeaderLines(aCall.mHeaders);
  if (!aCall.mHeaders.contains("host")) {
    lines += "host: " + aTo.Text() + "\r\n";
  }
  if (!aCall.mBody.empty() || aCall.mMethod != "GET") {
    lines += "content-length: " + std::to_string(aCall.mBody.size()) + "\r\n";
  }
  open->Write(aCall.mMethod + " " + aCall.mTarget + " HTTP/1.1\r\n" + lines +
              "\r\n" + aCall.mBody);
  const auto head = open->ReadHead(milliseconds(LeftMs(until)));
  if (!head) {
    return answer;
  }
  const auto start = ParseHead(*head, answer.mHeaders);
  answer.mStatus = std::atoi(start.substr(start.find(' ') + 1).c_str());
  answer.mWhole = ReadBody(*open, answer, until, aOnPiece);
  return answer;
}

std::string
ToText(int aStatus, const headers& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\n" +
         HeaderLines(aHeaders) +
         "content-length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct http_server::state : std::enable_shared_from_this<state>
{
  explicit state(handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  void Accept(int aListening)
  {
    while (true) {
      const int accepted =
        ::accept4(aListening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        break;
      }
      auto open = std::make_shared<connection>(accepted);
      const std::scoped_lock lock(mMutex);
      if (mListening != aListening) {
        open->Break(true);
        break;
      }
      mOpen.insert(open);
      std::thread([self = shared_from_this(), open] {
        self->Serve(*open);
        const std::scoped_lock locked(self->mMutex);
        self->mOpen.erase(open);
      }).detach();
    }
    ::close(aListening);
  }

  void Serve(connection& aOpen)
  {
    constexpr milliseconds kIdle{ 60000 };
    bool stays = true;
    while (stays) {
      const auto head = aOpen.ReadHead(kIdle);
      if (!head) {
        break;
      }
      http_call call;
      const auto start = ParseHead(*head, call.mHeaders);
      const auto first = start.find(' ');
      const auto second = start.find(' ', first + 1);
      call.mMethod = start.substr(0, first);
      call.mTarget = start.substr(first + 1, second - first - 1);
      const auto length = HeaderOf(call.mHeaders, "content-length");
      if (!length.empty()) {
        const auto body =
          aOpen.ReadExactly(std::stoul(length), clock::now() + kIdle);
        if (!body) {
          break;
        }
        call.mBody = *body;
      }
      stays = mHandler(call, aOpen);
    }
    aOpen.Break(false);
  }

  const handler mHandler;
  std::mutex mMutex;
  int mListening = -1;
  std::set<connection_ptr> mOpen;
};

http_server::http_server(address aListen, handler aHandler)
  : mAddress(std::move(aListen))
  , mState(std::make_shared<state>(std::move(aHandler)))
{
  if (mAddress.mPort != 0) {
    Restart();
    return;
  }
  // Below the ports of outgoing connections, one of which could take the port
  // while the server is down. Runs at the same time begin at different ones.
  constexpr int kFirst = 20000;
  constexpr int kRuns = 100;
  constexpr int kPerRun = 100;
  const int run = static_cast<int>(::getpid()) % kRuns;
  auto port = static_cast<std::uint16_t>(kFirst + run * kPerRun);
  while (true) {
    mAddress.mPort = FreePort(mAddress.mIp, port);
    try {
      Restart();
      return;
    } catch (const std::runtime_error&) {
      port = static_cast<std::uint16_t>(mAddress.mPort + 1);
    }
  }
}

http_server::~http_server()
{
  Crash();
}

void
http_server::Restart()
{
  const int listening = Listen(mAddress);
  {
    const std::scoped_lock lock(mState->mMutex);
    mState->mListening = listening;
  }
  std::thread([state = mState, listening] {
    state->Accept(listening);
  }).detach();
}

bool
http_server::TryRestart()
{
  constexpr int kTries = 50;
  constexpr milliseconds kPause{ 100 };
  for (int tries = 0; tries < kTries; ++tries) {
    try {
      Restart();
      return true;
    } catch (const std::runtime_error&) {
      std::this_thread::sleep_for(kPause);
    }
  }
  return false;
}

void
http_server::Crash()
{
  const std::scoped_lock lock(mState->mMutex);
  if (mState->mListening >= 0) {
    ::shutdown(std::exchange(mState->mListening, -1), SHUT_RDWR);
  }
  for (const auto& open : mState->mOpen) {
    open->Break(false);
  }
}

std::uint16_t
FreePort(const std::string& aIp, std::uint16_t aFrom)
{
  for (auto port = aFrom; port > 0; ++port) {
    try {
      address wanted{ aIp, port };
      ::close(Listen(wanted));
      return port;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  throw std::runtime_error("no free port on " + aIp);
}

} // namespace review
