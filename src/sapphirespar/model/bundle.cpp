// Implements lookups in a bundle.
#include "sapphirespar/model/bundle.hpp"

#include <algorithm>

namespace sapphirespar {
namespace {

template<class Item, class Value, class Member>
const Item*
Find(const std::vector<Item>& aItems, const Value& aValue, Member aMember)
{
  const auto found = std::ranges::find(aItems, aValue, aMember);
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const request_class*
FindClass(const bundle& aBundle, const class_id& aId)
{
  return Find(aBundle.mClasses, aId, &request_class::mId);
}

const client_account*
FindAccount(const bundle& aBundle, const account_id& aId)
{
  return Find(aBundle.mAccounts, aId, &client_account::mId);
}

const client_account*
FindAccountByKeyHash(const bundle& aBundle, std::string_view aKeyHash)
{
  return Find(aBundle.mAccounts, aKeyHash, &client_account::mKeyHash);
}

const upstream_spec*
FindUpstream(const bundle& aBundle, const upstream_id& aId)
{
  return Find(aBundle.mUpstreams, aId, &upstream_spec::mId);
}

bool
MaySend(const client_account& aAccount, const class_id& aClass)
{
  return aAccount.mClasses.empty() ||
         std::ranges::find(aAccount.mClasses, aClass) !=
           aAccount.mClasses.end();
}

} // namespace sapphirespar
