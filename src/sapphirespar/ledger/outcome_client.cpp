// Pending outcome queries, each with its own resend timer.
#include "outcome_client.hpp"

#include <algorithm>

namespace sapphirespar::ledger {

outcome_client::outcome_client(peer_network& aPeers,
                               timer_service& aTimers,
                               const at_most_once_settings& aSettings)
  : mPeers(aPeers)
  , mTimers(aTimers)
  , mSettings(aSettings)
{
}

void
outcome_client::Query(const process_id& aHolder,
                      outcome_query aQuery,
                      outcome_callback aDone)
{
  const query_id id{ aQuery.mKey, aQuery.mRequest };
  auto& pending = mQueries[id];
  pending.mDone.push_back(std::move(aDone));
  if (pending.mDone.size() > 1) {
    return;
  }
  pending.mHolder = aHolder;
  pending.mRequest = aQuery;
  pending.mDeadline = mTimers.Now() + mSettings.mOutcomeTimeout;
  pending.mResend =
    mTimers.Every(mSettings.mResendInterval, [this, id] { Resend(id); });
  mPeers.Send(aHolder.mVm, std::move(aQuery));
}

void
outcome_client::Resend(const query_id& aId)
{
  const auto& pending = mQueries.at(aId);
  if (mTimers.Now() >= pending.mDeadline) {
    Complete(query_id(aId), std::nullopt);
    return;
  }
  mPeers.Send(pending.mHolder.mVm, pending.mRequest);
}

void
outcome_client::OnAnswer(const process_id& aFrom, const outcome_answer& aAnswer)
{
  const query_id id{ aAnswer.mKey, aAnswer.mRequest };
  const auto found = mQueries.find(id);
  if (found != mQueries.end() && found->second.mHolder == aFrom) {
    Complete(id, aAnswer.mOutcome);
  }
}

void
outcome_client::Complete(const query_id& aId, std::optional<outcome> aOutcome)
{
  const auto ended = mQueries.extract(aId);
  std::ranges::for_each(ended.mapped().mDone,
                        [&](const auto& aDone) { aDone(aOutcome); });
}

} // namespace sapphirespar::ledger
