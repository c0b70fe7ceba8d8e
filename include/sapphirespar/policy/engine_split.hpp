// How many of the engines are kept for interactive work. Follows what either
// kind of work occupies: slots of running requests, and time for reading
// prompts. Every router has both from all others, so that all split alike.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

// What one kind of work takes of engines: those whose slots it would fill, and
// those that reading its prompts would keep busy.
struct work_demand
{
  double mSlots = 0;
  double mPrefill = 0;

  work_demand& operator+=(const work_demand& aOther)
  {
    mSlots += aOther.mSlots;
    mPrefill += aOther.mPrefill;
    return *this;
  }
};

struct engine_demand
{
  work_demand mInteractive;
  work_demand mBulk;

  engine_demand& operator+=(const engine_demand& aOther)
  {
    mInteractive += aOther.mInteractive;
    mBulk += aOther.mBulk;
    return *this;
  }
};

// Measures the engines' time for reading the prompts that one router sends.
class prefill_meter
{
public:
  // A prompt was sent that takes an engine so long to read.
  void Add(bool aInteractive, double aReadingMs, steady_time aNow);

  engine_demand Demand(steady_time aNow) const;

private:
  double Kept(steady_time aNow) const;

  // Milliseconds, fading.
  double mInteractiveMs = 0;
  double mBulkMs = 0;
  steady_time mFadedAt{};
};

class engine_split
{
public:
  // Takes over what all routers together ask of so many engines now.
  void Update(const engine_demand& aDemand, double aEngines, steady_time aNow);

  // Share of the engines for interactive work, between 0 and 1. Changes only
  // when one kind is short of engines, as each change moves shared parts of
  // prompts to other engines.
  double Share() const { return mShare; }

private:
  // Engines that each kind needs.
  double mInteractive = 0;
  double mBulk = 0;
  double mShare = 0.34;
  steady_time mUpdated{};
};

} // namespace sapphirespar::policy
