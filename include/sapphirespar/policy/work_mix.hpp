// Tells how much of the recent work on engines was interactive, so that a share
// of the engines can be kept for it.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/policy/engine_choice.hpp"

namespace sapphirespar::policy {

class work_mix
{
public:
  void Add(const prompt_work& aWork, steady_time aNow);

  // Within bounds that leave either kind some engines.
  interactive_share Share() const;

private:
  // Milliseconds of engine time, fading.
  double mInteractiveMs = 0;
  double mBulkMs = 0;
  steady_time mFadedAt{};
};

} // namespace sapphirespar::policy
