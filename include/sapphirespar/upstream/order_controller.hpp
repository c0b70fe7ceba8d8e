// Orders to engines: load or unload a model, one at a time for each upstream,
// fenced by the version of an object at the platform.
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

// Returns the order as engines read it, such as "load_model".
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
  // No answer: the engine may have taken the order.
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
  // No engine takes longer for an order.
  std::chrono::milliseconds mMaxOrderDuration{ 120000 };
  // A holder that was cleared to send must do so within this time.
  std::chrono::milliseconds mSendWindow{ 1000 };
  std::chrono::milliseconds mVerifyInterval{ 1000 };
  // Load reports may be that old, so earlier ones prove nothing.
  std::chrono::milliseconds mReportLag{ 3000 };
  // Loads from the weight store at a time, in the whole fleet.
  unsigned mWeightStoreSlots = 4;
  // Between two looks at a full set of slots.
  std::chrono::milliseconds mSlotRetryInterval{ 5000 };
  // A slot that has been seen unchanged for so long belongs to nobody.
  std::chrono::milliseconds mSlotExpiry{ 300000 };
};

enum class order_outcome
{
  // The engine reports the ordered state.
  Done,
  // Another holder gave a later order.
  Superseded,
  // Sent, but the engine does not report the state.
  Unverified,
  // The platform could not be reached; nothing was sent.
  NotSent,
};

// Returns the end as it stands in logs, such as "superseded".
std::string_view ToText(order_outcome aEnd);

using order_callback = std::function<void(order_outcome)>;

// Lives on the control thread.
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

  // Returns false if an order of this controller to aSpec is in progress.
  bool Issue(const upstream_spec& aSpec,
             engine_order aOrder,
             order_callback aDone);

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::upstream
