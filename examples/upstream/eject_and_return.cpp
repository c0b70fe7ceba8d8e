// Shows how an engine that stops answering is ejected after a failed probe, and
// becomes healthy again once a probe succeeds.
#include "sapphirespar/upstream/health_tracker.hpp"

#include <iostream>
#include <memory>

using namespace sapphirespar;
using namespace std::chrono_literals;

int
main()
{
  manual_timer_service timers;
  blackboard board;
  bundle declared;
  for (const auto* const name : { "engine-1", "engine-2", "engine-3" }) {
    upstream_spec engine;
    engine.mId = { name };
    engine.mModels = { { "wool" } };
    declared.mUpstreams.push_back(engine);
  }
  board.mBundle = std::make_shared<const bundle>(declared);

  bool alive = false;
  upstream::health_hooks hooks;
  hooks.mProbe = [&](const upstream_spec&, const auto& aDone) {
    aDone(alive ? std::optional(upstream::load_report()) : std::nullopt);
  };
  hooks.mFetchLoad = [](const upstream_spec&, const auto& aDone) {
    aDone(std::nullopt);
  };
  hooks.mIsOwner = [](const upstream_spec&) { return true; };
  hooks.mOnChange = [](const upstream_id& aId, upstream_state aState) {
    std::cout << aId << " is " << ToText(aState) << '\n';
  };
  upstream::health_tracker tracker(board, timers, hooks);

  const upstream_id id{ "engine-1" };
  for (int failure = 0; failure < 3; ++failure) {
    tracker.Observe(id, { upstream::attempt_end::ConnectFailed, 0ms, 0 });
  }
  const auto ejected = board.mUpstreams[id].mState == upstream_state::Ejected;
  alive = true;
  timers.Advance(2s);
  const auto healthy = board.mUpstreams[id].mState == upstream_state::Healthy;
  return ejected && healthy ? 0 : 1;
}
