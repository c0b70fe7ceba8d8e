// Questions in progress, each with its own timer.
#include "fate_asker.hpp"

#include <algorithm>

namespace sapphirespar::ledger {

fate_asker::fate_asker(peer_network& aPeers,
                       timer_service& aTimers,
                       const at_most_once_settings& aSettings)
  : mPeers(aPeers)
  , mTimers(aTimers)
  , mSettings(aSettings)
{
}

void
fate_asker::Ask(const process_id& aHolder,
                outcome_query aQuestion,
                fate_callback aDone)
{
  const question_id id{ aQuestion.mKey, aQuestion.mRequest };
  auto& asked = mQuestions[id];
  asked.mDone.push_back(std::move(aDone));
  if (asked.mDone.size() > 1) {
    return;
  }
  asked.mHolder = aHolder;
  asked.mRequest = aQuestion;
  asked.mDeadline = mTimers.Now() + mSettings.mFateTimeout;
  asked.mResend =
    mTimers.Every(mSettings.mResendInterval, [this, id] { Resend(id); });
  mPeers.Send(aHolder.mVm, std::move(aQuestion));
}

void
fate_asker::Resend(const question_id& aId)
{
  const auto& asked = mQuestions.at(aId);
  if (mTimers.Now() >= asked.mDeadline) {
    End(question_id(aId), std::nullopt);
    return;
  }
  mPeers.Send(asked.mHolder.mVm, asked.mRequest);
}

void
fate_asker::OnAnswer(const process_id& aFrom, const outcome_answer& aAnswer)
{
  const question_id id{ aAnswer.mKey, aAnswer.mRequest };
  const auto found = mQuestions.find(id);
  if (found != mQuestions.end() && found->second.mHolder == aFrom) {
    End(id, aAnswer.mOutcome);
  }
}

void
fate_asker::End(const question_id& aId, std::optional<outcome> aOutcome)
{
  const auto ended = mQuestions.extract(aId);
  std::ranges::for_each(ended.mapped().mDone,
                        [&](const auto& aDone) { aDone(aOutcome); });
}

} // namespace sapphirespar::ledger
