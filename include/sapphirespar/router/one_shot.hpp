// A value that any thread sets once and a coroutine waits for.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace sapphirespar::router {

namespace asio = boost::asio;

template<class T>
class one_shot : public std::enable_shared_from_this<one_shot<T>>
{
public:
  explicit one_shot(asio::any_io_executor aExecutor)
    : mTimer(aExecutor)
  {
  }

  // May be called on any thread. Values after the first are ignored.
  void Set(T aValue)
  {
    asio::post(
      mTimer.get_executor(),
      [self = this->shared_from_this(), value = std::move(aValue)]() mutable {
        if (!self->mValue) {
          self->mValue = std::move(value);
          self->mTimer.cancel();
        }
      });
  }

  // Returns the value, or nothing if it has not been set within aLimit. Called
  // by one coroutine, on the executor given at construction.
  asio::awaitable<std::optional<T>> Wait(std::chrono::milliseconds aLimit)
  {
    if (!mValue) {
      mTimer.expires_after(aLimit);
      co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return mValue;
  }

private:
  // Both members are used only on mTimer's executor.
  std::optional<T> mValue;
  asio::steady_timer mTimer;
};

} // namespace sapphirespar::router
