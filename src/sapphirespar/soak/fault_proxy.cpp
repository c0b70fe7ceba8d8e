// Relays bytes in both directions, subject to the current fault.
#include "sapphirespar/soak/fault_proxy.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>

namespace sapphirespar::soak {

using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kDelay{ 120 };
// How often a stalled relay checks whether the stall has ended.
constexpr std::chrono::milliseconds kStallPollInterval{ 20 };

using socket_ptr = std::shared_ptr<tcp::socket>;

enum class direction
{
  ToTarget,
  FromTarget,
};

void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

asio::awaitable<void>
Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kAsTuple);
}

} // namespace

struct fault_proxy::state
{
  state(asio::io_context& aContext, tcp::endpoint aTarget)
    : mAcceptor(aContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , mTarget(std::move(aTarget))
  {
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  link_fault mFault = link_fault::None;
  std::list<std::weak_ptr<tcp::socket>> mSockets;
};

namespace {

using state_ptr = std::shared_ptr<fault_proxy::state>;

bool
IsDropped(link_fault aFault, direction aDirection)
{
  return aFault == (aDirection == direction::ToTarget
                      ? link_fault::DropRequests
                      : link_fault::DropResponses);
}

asio::awaitable<void>
Relay(state_ptr aState, socket_ptr aFrom, socket_ptr aTo, direction aDirection)
{
  std::array<char, 16 * 1024> bytes{};
  // No later bytes pass once some were dropped: TCP delivers none with a gap
  // before them.
  bool dropped = false;
  while (true) {
    const auto [readError, count] =
      co_await aFrom->async_read_some(asio::buffer(bytes), kAsTuple);
    // Bytes that arrive during a stall are held until it ends.
    while (aState->mFault == link_fault::Stall) {
      co_await Sleep(kStallPollInterval);
    }
    if (readError) {
      break;
    }
    if (aState->mFault == link_fault::Delay) {
      co_await Sleep(kDelay);
    }
    dropped = dropped || IsDropped(aState->mFault, aDirection);
    if (dropped) {
      continue;
    }
    const auto [writeError, written] = co_await asio::async_write(
      *aTo, asio::buffer(bytes.data(), count), kAsTuple);
    if (writeError) {
      break;
    }
  }
  boost::system::error_code ignored;
  aFrom->close(ignored);
  aTo->close(ignored);
}

asio::awaitable<void>
HandleConnection(state_ptr aState, socket_ptr aClient)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto target = std::make_shared<tcp::socket>(executor);
  const auto [error] =
    co_await target->async_connect(aState->mTarget, kAsTuple);
  if (error || aState->mFault == link_fault::Reset) {
    Reset(*aClient);
    co_return;
  }
  boost::system::error_code ignored;
  target->set_option(tcp::no_delay(true), ignored);
  aClient->set_option(tcp::no_delay(true), ignored);
  aState->mSockets.push_back(aClient);
  aState->mSockets.push_back(target);
  asio::co_spawn(executor,
                 Relay(aState, target, aClient, direction::FromTarget),
                 asio::detached);
  co_await Relay(aState, aClient, target, direction::ToTarget);
  std::erase_if(aState->mSockets,
                [](const auto& aSocket) { return aSocket.expired(); });
}

asio::awaitable<void>
Accept(state_ptr aState)
{
  const auto executor = co_await asio::this_coro::executor;
  while (aState->mAcceptor.is_open()) {
    const auto client = std::make_shared<tcp::socket>(executor);
    const auto [error] =
      co_await aState->mAcceptor.async_accept(*client, kAsTuple);
    if (!error) {
      asio::co_spawn(
        executor, HandleConnection(aState, client), asio::detached);
    }
  }
}

} // namespace

fault_proxy::fault_proxy(asio::io_context& aContext, tcp::endpoint aTarget)
  : mState(std::make_shared<state>(aContext, std::move(aTarget)))
{
  asio::co_spawn(aContext, Accept(mState), asio::detached);
}

fault_proxy::~fault_proxy()
{
  boost::system::error_code ignored;
  mState->mAcceptor.close(ignored);
}

std::uint16_t
fault_proxy::Port() const
{
  return mState->mAcceptor.local_endpoint().port();
}

void
fault_proxy::SetFault(link_fault aFault)
{
  mState->mFault = aFault;
  if (aFault == link_fault::Reset) {
    for (const auto& weak : mState->mSockets) {
      if (const auto socket = weak.lock()) {
        Reset(*socket);
      }
    }
    mState->mSockets.clear();
  }
}

} // namespace sapphirespar::soak
