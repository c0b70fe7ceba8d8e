// Lists the fields of a bundle and its items for the JSON archives.
#pragma once

#include "json_archive.hpp"

namespace sapphirespar {

template<maybe_const<request_class> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const request_class sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("tier", aItem.mTier, sDefault.mTier);
  aArchive.Field("kind", aItem.mKind, sDefault.mKind);
  aArchive.Field("idempotent", aItem.mIdempotent, sDefault.mIdempotent);
  aArchive.Field("once", aItem.mOnce, sDefault.mOnce);
  aArchive.Field(
    "first_token_ms", aItem.mFirstTokenTarget, sDefault.mFirstTokenTarget);
  aArchive.Field("answer_ms", aItem.mAnswerTarget, sDefault.mAnswerTarget);
  aArchive.Field("minimum_share_percent",
                 aItem.mMinimumSharePercent,
                 sDefault.mMinimumSharePercent);
  aArchive.Field("queue_limit", aItem.mQueueLimit, sDefault.mQueueLimit);
  aArchive.Field("weight", aItem.mWeight, sDefault.mWeight);
}

template<maybe_const<client_account> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const client_account sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("key_hash", aItem.mKeyHash, sDefault.mKeyHash);
  aArchive.Field("classes", aItem.mClasses, sDefault.mClasses);
  aArchive.Field("requests_per_second",
                 aItem.mRequestsPerSecond,
                 sDefault.mRequestsPerSecond);
  aArchive.Field("concurrency", aItem.mConcurrency, sDefault.mConcurrency);
}

template<maybe_const<model_spec> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const model_spec sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field(
    "minimum_replicas", aItem.mMinimumReplicas, sDefault.mMinimumReplicas);
  aArchive.Field(
    "maximum_replicas", aItem.mMaximumReplicas, sDefault.mMaximumReplicas);
}

template<maybe_const<upstream_spec> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const upstream_spec sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("kind", aItem.mKind, sDefault.mKind);
  aArchive.Field("data_centre", aItem.mDataCentre, sDefault.mDataCentre);
  aArchive.Field("address", aItem.mAddress, sDefault.mAddress);
  aArchive.Field("port", aItem.mPort, sDefault.mPort);
  aArchive.Field("slots", aItem.mSlots, sDefault.mSlots);
  aArchive.Field("models", aItem.mModels, sDefault.mModels);
  aArchive.Field("service", aItem.mService, sDefault.mService);
  aArchive.Field(
    "checks_fencing", aItem.mChecksFencing, sDefault.mChecksFencing);
  aArchive.Field("leaving", aItem.mLeaving, sDefault.mLeaving);
}

template<maybe_const<signer> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const signer sDefault;
  aArchive.Field("name", aItem.mName, sDefault.mName);
  aArchive.Field("public_key", aItem.mPublicKey, sDefault.mPublicKey);
}

template<maybe_const<bundle> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const bundle sDefault;
  aArchive.Field("epoch", aItem.mVersion.mEpoch, sDefault.mVersion.mEpoch);
  aArchive.Field("number", aItem.mVersion.mNumber, sDefault.mVersion.mNumber);
  aArchive.List("classes", aItem.mClasses);
  aArchive.List("accounts", aItem.mAccounts);
  aArchive.List("models", aItem.mModels);
  aArchive.List("upstreams", aItem.mUpstreams);
  aArchive.List("signers", aItem.mSigners);
}

} // namespace sapphirespar
