// Sends orders to engines to load or unload a model, one at a time for each
// upstream. The version of the upstream's order record at the platform is the
// fencing number. The process whose order a record contains is its holder.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/upstream/health_tracker.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace sapphirespar::upstream {

inline constexpr std::string_view kOrderKind = "order";

enum class order_kind
{
  LoadModel,
  UnloadModel,
};

// Returns the order's name in the engine protocol, such as "load_model".
std::string_view ToText(order_kind aKind);

struct engine_order
{
  order_kind mKind = order_kind::LoadModel;
  model_id mModel;
};

enum class order_reply
{
  Accepted,
  // The engine has seen a higher fencing number.
  Refused,
  // No answer arrived; the engine may have accepted the order.
  Unknown,
};

using order_reply_callback = std::function<void(order_reply)>;

struct order_hooks
{
  // Sends an order with its fencing number.
  std::function<void(const upstream_spec&,
                     const engine_order&,
                     std::uint64_t aFence,
                     order_reply_callback)>
    mSend;
  std::function<void(const upstream_spec&, load_callback)> mFetchLoad;
};

struct order_settings
{
  // No engine takes longer than this to carry out an order. An order that is
  // not verified by then ends as unverified.
  std::chrono::milliseconds mMaxOrderDuration{ 120000 };
  // After confirming that it still holds the record, a process must send its
  // order within this time, or confirm again.
  std::chrono::milliseconds mSendWindow{ 1000 };
  // Interval between load reports fetched to verify an order.
  std::chrono::milliseconds mVerifyInterval{ 1000 };
  // Load reports may be this old. Reports fetched sooner after an order was
  // sent may describe the engine's state before the order.
  std::chrono::milliseconds mReportLag{ 3000 };
  // Concurrent loads from the weight store in the whole fleet.
  unsigned mWeightStoreSlots = 4;
  // Interval between two attempts to acquire a slot while all are taken.
  std::chrono::milliseconds mSlotRetryInterval{ 5000 };
  // A slot that has been held by the same order for this long is taken to be
  // abandoned, and is freed.
  std::chrono::milliseconds mSlotExpiry{ 300000 };
};

enum class order_outcome
{
  // The engine reports the ordered state.
  Done,
  // Another process has written a later order.
  Superseded,
  // The order was sent, but the engine did not report the ordered state in
  // time.
  Unverified,
  // The platform could not be reached; nothing was sent.
  NotSent,
};

// Returns the outcome's name in logs, such as "superseded".
std::string_view ToText(order_outcome aOutcome);

using order_callback = std::function<void(order_outcome)>;

// All calls must be made on the control thread.
class order_controller
{
public:
  order_controller(process_id aSelf,
                   platform_api& aPlatform,
                   timer_service& aTimers,
                   order_hooks aHooks,
                   order_settings aSettings = {});
  ~order_controller();
  order_controller(const order_controller&) = delete;
  order_controller& operator=(const order_controller&) = delete;

  // Starts an order and calls aDone once it has ended. Returns false, without
  // calling aDone, if an order of this controller to aSpec is in progress.
  bool Issue(const upstream_spec& aSpec,
             engine_order aOrder,
             order_callback aDone);

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::upstream
