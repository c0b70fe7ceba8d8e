// Combines declared upstreams with their status.
#include "sapphirespar/router/upstream_view.hpp"

#include "sapphirespar/router/snapshot.hpp"

#include <algorithm>

namespace sapphirespar::router {

policy::upstream_view
MakeView(const upstream_spec& aSpec, const upstream_status* aStatus)
{
  policy::upstream_view view;
  view.mId = aSpec.mId;
  view.mPools = PoolsOf(aSpec);
  view.mSlots = aSpec.mSlots;
  view.mCanPause = aSpec.mKind == upstream_kind::Engine;
  if (aStatus == nullptr) {
    return view;
  }
  view.mState = aStatus->mState;
  view.mRelativeSpeed = aStatus->mRelativeSpeed;
  if (const auto& loaded = aStatus->mLoaded) {
    std::erase_if(view.mPools, [&](const std::string& aPool) {
      return std::ranges::find(*loaded, model_id{ aPool }) == loaded->end();
    });
  }
  return view;
}

} // namespace sapphirespar::router
