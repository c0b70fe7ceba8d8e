// Names of outcomes, and names and HTTP statuses of refusal reasons.
#include "sapphirespar/model/outcome.hpp"

#include <algorithm>
#include <array>

namespace sapphirespar {
namespace {

struct reason_row
{
  refusal_reason mReason;
  std::string_view mText;
  unsigned mHttpStatus;
};

constexpr std::array kReasons{
  reason_row{ refusal_reason::BadRequest, "bad_request", 400 },
  reason_row{ refusal_reason::Unauthorized, "unauthorized", 401 },
  reason_row{ refusal_reason::ClassNotAllowed, "class_not_allowed", 403 },
  reason_row{ refusal_reason::NoSuchClass, "no_such_class", 400 },
  reason_row{ refusal_reason::NoSuchModel, "no_such_model", 404 },
  reason_row{ refusal_reason::NoSuchService, "no_such_service", 404 },
  reason_row{ refusal_reason::AccountLimit, "account_limit", 429 },
  reason_row{ refusal_reason::QueueFull, "queue_full", 429 },
  reason_row{ refusal_reason::TooLate, "too_late", 503 },
  reason_row{ refusal_reason::NoUpstream, "no_upstream", 503 },
  reason_row{ refusal_reason::UpstreamFailed, "upstream_failed", 502 },
  reason_row{ refusal_reason::UpstreamTimeout, "upstream_timeout", 504 },
  reason_row{ refusal_reason::DuplicateKey, "duplicate_key", 409 },
  reason_row{ refusal_reason::MissingKey, "missing_key", 400 },
  reason_row{ refusal_reason::PlatformDown, "platform_down", 503 },
  reason_row{ refusal_reason::NotReady, "not_ready", 503 },
};

const reason_row&
RowOf(refusal_reason aReason)
{
  return *std::ranges::find(kReasons, aReason, &reason_row::mReason);
}

} // namespace

std::string_view
ToText(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::NotRun:
      return "not_run";
    case outcome::Unknown:
      return "unknown";
    case outcome::Done:
      break;
  }
  return "done";
}

std::string_view
ToText(refusal_reason aReason)
{
  return RowOf(aReason).mText;
}

unsigned
HttpStatusOf(refusal_reason aReason)
{
  return RowOf(aReason).mHttpStatus;
}

} // namespace sapphirespar
