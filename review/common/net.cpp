// Sockets, and the reading and writing of HTTP/1.1 messages.
#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

using std::chrono::steady_clock;

std::atomic<std::uint64_t> sConnections{ 0 };

sockaddr_in
ToSocketAddress(const address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.mPort);
  ::inet_pton(AF_INET, aAddress.mHost.c_str(), &result.sin_addr);
  return result;
}

int
LeftUntil(steady_time aUntil)
{
  const auto left =
    std::chrono::ceil<milliseconds>(aUntil - steady_clock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

int
Listen(const std::string& aHost, std::uint16_t& aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto where = ToSocketAddress({ aHost, aPort });
  socklen_t size = sizeof(where);
  constexpr int kBacklog = 512;
  if (::bind(socket, reinterpret_cast<sockaddr*>(&where), size) != 0 ||
      ::listen(socket, kBacklog) != 0) {
    ::close(socket);
    throw std::runtime_error("cannot listen at " + aHost);
  }
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&where), &size);
  aPort = ntohs(where.sin_port);
  return socket;
}

std::string
Word(const std::string& aText, int aNumber)
{
  std::istringstream words(aText);
  std::string word;
  for (int number = 0; number <= aNumber; ++number) {
    word.clear();
    words >> word;
  }
  return word;
}

} // namespace

std::string
http_message::Header(std::string_view aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name.size() == aName.size() &&
        ::strncasecmp(name.data(), aName.data(), aName.size()) == 0) {
      return value;
    }
  }
  return {};
}

int
http_message::Status() const
{
  const auto word = Word(mStart, 1);
  int status = 0;
  std::from_chars(word.data(), word.data() + word.size(), status);
  return status;
}

std::string
http_message::Method() const
{
  return Word(mStart, 0);
}

std::string
http_message::Target() const
{
  return Word(mStart, 1);
}

connection::connection(int aSocket)
  : mSocket(aSocket)
  , mNumber(++sConnections)
{
}

connection::~connection()
{
  ::close(mSocket);
}

std::unique_ptr<connection>
connection::Open(const address& aPeer, milliseconds aTimeout)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  auto opened = std::make_unique<connection>(socket);
  const auto where = ToSocketAddress(aPeer);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&where),
                sizeof(where)) != 0) {
    pollfd ready{ socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        ::poll(&ready, 1, static_cast<int>(aTimeout.count())) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return nullptr;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return opened;
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

connection::fill_result
connection::Fill(steady_time aUntil)
{
  pollfd ready{ mSocket, POLLIN, 0 };
  if (::poll(&ready, 1, LeftUntil(aUntil)) <= 0) {
    return fill_result::Timeout;
  }
  constexpr std::size_t kReadBytes = 64 * 1024;
  std::array<char, kReadBytes> bytes{};
  const auto count = ::recv(mSocket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return fill_result::Closed;
  }
  mBuffer.append(bytes.data(), static_cast<std::size_t>(count));
  return fill_result::Bytes;
}

std::optional<std::string>
connection::TakeLine(steady_time aUntil)
{
  auto end = mBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (Fill(aUntil) != fill_result::Bytes) {
      return std::nullopt;
    }
    end = mBuffer.find("\r\n");
  }
  auto line = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return line;
}

bool
connection::ReadBody(http_message& aMessage, steady_time aUntil)
{
  const auto take = [&](std::size_t aCount) {
    while (mBuffer.size() < aCount) {
      if (Fill(aUntil) != fill_result::Bytes) {
        return false;
      }
    }
    aMessage.mBody += mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return true;
  };
  if (aMessage.Header("Transfer-Encoding") != "chunked") {
    const auto text = aMessage.Header("Content-Length");
    return text.empty() || take(std::stoul(text));
  }
  while (true) {
    const auto line = TakeLine(aUntil);
    constexpr int kHexadecimal = 16;
    const auto size = line ? std::stoul("0" + *line, nullptr, kHexadecimal) : 0;
    if (!line || !take(size) || !TakeLine(aUntil)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

std::optional<http_message>
connection::Read(steady_time aUntil)
{
  http_message message;
  auto line = TakeLine(aUntil);
  if (!line) {
    return std::nullopt;
  }
  message.mStart = *std::move(line);
  while ((line = TakeLine(aUntil)) && !line->empty()) {
    const auto colon = line->find(':');
    const auto value = line->find_first_not_of(' ', colon + 1);
    message.mHeaders.emplace_back(
      line->substr(0, colon),
      value == std::string::npos ? std::string() : line->substr(value));
  }
  if (!line || !ReadBody(message, aUntil)) {
    return std::nullopt;
  }
  return message;
}

bool
connection::ClosesWithin(milliseconds aTime)
{
  const auto until = steady_clock::now() + aTime;
  while (true) {
    const auto result = Fill(until);
    if (result != fill_result::Bytes) {
      return result == fill_result::Closed;
    }
  }
}

void
connection::Shutdown()
{
  ::shutdown(mSocket, SHUT_RDWR);
}

listener::listener(const std::string& aHost,
                   serve_hook aServe,
                   std::uint16_t aPort)
  : mServe(std::move(aServe))
{
  mWhere = { aHost, aPort };
  mSocket = Listen(aHost, mWhere.mPort);
  mAcceptor = std::thread([this] { Accept(); });
}

listener::~listener()
{
  Close();
  mAcceptor.join();
  std::vector<worker> workers;
  {
    const std::scoped_lock lock(mMutex);
    workers.swap(mWorkers);
  }
  std::ranges::for_each(workers, [](auto& aWorker) { aWorker.mThread.join(); });
}

void
listener::Close()
{
  if (mClosed.exchange(true)) {
    return;
  }
  ::shutdown(mSocket, SHUT_RDWR);
  ::close(mSocket);
  const std::scoped_lock lock(mMutex);
  for (const auto& open : mOpen) {
    if (const auto peer = open.lock()) {
      peer->Shutdown();
    }
  }
}

// Threads that have ended are joined while others go on, as many connections
// come and go.
void
listener::JoinDone()
{
  std::erase_if(mWorkers, [](worker& aWorker) {
    const bool done = *aWorker.mDone;
    if (done) {
      aWorker.mThread.join();
    }
    return done;
  });
}

void
listener::Accept()
{
  while (!mClosed) {
    const int socket = ::accept(mSocket, nullptr, nullptr);
    if (socket < 0) {
      if (mClosed) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto peer = std::make_shared<connection>(socket);
    const std::scoped_lock lock(mMutex);
    if (mClosed) {
      return;
    }
    std::erase_if(mOpen, [](const auto& aOpen) { return aOpen.expired(); });
    mOpen.push_back(peer);
    JoinDone();
    auto done = std::make_shared<std::atomic<bool>>(false);
    mWorkers.push_back({ std::thread([this, peer, done]() mutable {
                           mServe(*peer);
                           peer.reset();
                           *done = true;
                         }),
                         done });
  }
}

std::string
ToText(const http_message& aMessage)
{
  std::string text = aMessage.mStart + "\r\n";
  for (const auto& [name, value] : aMessage.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + aMessage.mBody;
}

http_message
MakeResponse(int aStatus,
             std::vector<std::pair<std::string, std::string>> aHeaders,
             std::string aBody)
{
  http_message response;
  response.mStart = "HTTP/1.1 " + std::to_string(aStatus) + " Status";
  response.mHeaders = std::move(aHeaders);
  response.mHeaders.emplace_back("Content-Length",
                                 std::to_string(aBody.size()));
  response.mBody = std::move(aBody);
  return response;
}

std::uint16_t
FreePort(const std::string& aHost)
{
  std::uint16_t port = 0;
  ::close(Listen(aHost, port));
  return port;
}

} // namespace review
