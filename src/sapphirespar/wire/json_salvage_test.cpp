// Tests of documents of which some elements can't be parsed.
#include "json_salvage.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::wire {
namespace {

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string
Page(const std::string& aElement)
{
  return R"({"at":7,"entries":[{"metadata":{"name":"a"},"spec":1}, )" +
         aElement + R"( ,{"metadata":{"name":"c"},"spec":"x]}\","}],)" +
         R"("has_more":true})";
}

TEST(JsonSalvage, AnElementThatCannotBeReadKeepsItsMetadataOnly)
{
  const std::string expected =
    R"({"at":7,"has_more":true,"entries":[{"metadata":{"name":"a"},"spec":1},)"
    R"({"metadata":{"name":"b"}},{"metadata":{"name":"c"},"spec":"x]}\","}]})";
  for (const auto& value : { std::string("\"\xff\""),
                             std::string(R"("\ud800")"),
                             Nested(40),
                             std::string("nul") }) {
    const auto page =
      Page(R"({"spec":)" + value + R"(,"metadata":{"name":"b"}})");
    EXPECT_EQ(SalvageElements(page, "entries", "", false), expected) << value;
  }
}

TEST(JsonSalvage, AnElementWithoutANameIsDroppedUnlessItMustHaveOne)
{
  const auto page = Page("{\"metadata\":{\"name\":\"\xff\"},\"spec\":1}");
  EXPECT_EQ(SalvageElements(page, "entries", "", false),
            R"({"at":7,"has_more":true,"entries":[{"metadata":{"name":"a"},)"
            R"("spec":1},{"metadata":{"name":"c"},"spec":"x]}\","}]})");
  EXPECT_FALSE(SalvageElements(page, "entries", "", true));
}

TEST(JsonSalvage, MetadataMayBeOneLevelDeeper)
{
  EXPECT_EQ(
    SalvageElements("{\"events\":[{\"deleted\":false,\"object\":{"
                    "\"metadata\":{\"name\":\"b\"},\"spec\":\"\xff\"}}]}",
                    "events",
                    "object",
                    true),
    R"({"events":[{"object":{"metadata":{"name":"b"}}}]})");
}

TEST(JsonSalvage, ADocumentThatIsBrokenElsewhereIsRefused)
{
  for (const auto* text : { "",
                            "{",
                            "[]",
                            "{\"entries\":[",
                            "{\"entries\":{}}",
                            "{\"entries\":[1 2]}",
                            "{\"entries\":[\"a]}",
                            "{\"other\":[]}",
                            "{entries:[]}" }) {
    EXPECT_FALSE(SalvageElements(text, "entries", "", false)) << text;
  }
}

} // namespace
} // namespace sapphirespar::wire
