// Tests of authentication by token, of the rights of each kind of caller, and
// of the checks on the tokens file.
#include "access/access.h"
#include "access/secret-file.h"
#include "support/story.h"

#include <QTemporaryDir>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>

using namespace heathercross::access;
using heathercross::test::section;

namespace {

const Principal Ada{PrincipalKind::Operator, "ada"};
const Principal Trading{PrincipalKind::Team, "trading"};
const Principal Scraper{PrincipalKind::Metrics, "scraper"};

std::string tokensFileText() {
  return "# tokens\n" + tokenLine("t-ada", Ada) + "\n\n" +
         tokenLine("t-trading", Trading) + "\n" +
         tokenLine("t-scraper", Scraper) + "\n";
}

std::vector<TokenProblem> parseProblems(const std::string &Text) {
  try {
    parseTokens(Text, "tokens");
  } catch (const TokensFileError &E) {
    return E.problems();
  }
  return {};
}

/// Writes a file with the given text and permission bits; returns its path.
std::string writeFile(const QTemporaryDir &Folder, const std::string &Text,
                      unsigned Permissions) {
  std::string Name = Folder.filePath("secret").toStdString();
  std::filesystem::remove(Name);
  std::ofstream(Name) << Text;
  std::filesystem::permissions(Name, std::filesystem::perms(Permissions));
  return Name;
}

SecretFault readFault(const std::string &File) {
  try {
    readSecretFile(File);
  } catch (const SecretFileError &E) {
    return E.fault();
  }
  CPPUNIT_FAIL("no SecretFileError");
  return {};
}

} // namespace

HEATHERCROSS_STORY(AccessTokens, "a token identifies one caller") {
  const Authenticator A = parseTokens(tokensFileText(), "tokens");
  section("a known token is authenticated", [&] {
    CPPUNIT_ASSERT(A.authenticate("t-ada") == Ada);
    CPPUNIT_ASSERT(A.authenticate("t-trading") == Trading);
  });
  section("similar, empty and very long ones aren't", [&] {
    for (const std::string &T : {std::string("t-ad"), std::string("t-adaa"),
                                 std::string(), std::string(300, 'x')})
      CPPUNIT_ASSERT(!A.authenticate(T));
  });
  section("the digest is SHA-256", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61"
                    "f20015ad team x"),
        tokenLine("abc", {PrincipalKind::Team, "x"}));
  });
  section("the header is in the Bearer scheme", [&] {
    CPPUNIT_ASSERT(A.authorize("bearer t-ada", Right::ManageTickets) == Ada);
    for (const char *Header : {"", "t-ada", "Basic t-ada", "Bearer", "Bearer "})
      CPPUNIT_ASSERT_THROW(A.authorize(Header, Right::ManageTickets),
                           Unauthenticated);
  });
  HEATHERCROSS_PROPERTY(
      "no other text is authenticated",
      [&](const std::string &T) { RC_ASSERT(!A.authenticate(T)); });
}

HEATHERCROSS_STORY(AccessRights, "each kind of caller has its rights") {
  const Authenticator A = parseTokens(tokensFileText(), "tokens");
  const auto HasRight = [&](const char *Token, Right R) {
    try {
      A.authorize(std::string("Bearer ") + Token, R);
      return true;
    } catch (const Forbidden &) {
      return false;
    }
  };
  const auto RightsOf = [&](const char *Token) {
    std::string Result;
    for (const Right R : {Right::Call, Right::ReadView, Right::ManageTickets,
                          Right::Dump, Right::Metrics})
      Result += HasRight(Token, R) ? '1' : '0';
    return Result;
  };
  CPPUNIT_ASSERT_EQUAL(std::string("01111"), RightsOf("t-ada"));
  CPPUNIT_ASSERT_EQUAL(std::string("11000"), RightsOf("t-trading"));
  CPPUNIT_ASSERT_EQUAL(std::string("00001"), RightsOf("t-scraper"));
}

HEATHERCROSS_STORY(AccessTokensFile, "the lines of a tokens file are checked") {
  section("all invalid lines are reported", [] {
    const std::string Good = tokenLine("a", Ada);
    const std::string DigestHex = Good.substr(0, 64);
    const std::vector<TokenProblem> Expected{
        {2, TokenFault::Duplicate},   {3, TokenFault::Malformed},
        {4, TokenFault::BadDigest},   {5, TokenFault::BadDigest},
        {6, TokenFault::UnknownKind}, {7, TokenFault::BadName}};
    CPPUNIT_ASSERT(
        parseProblems(Good + "\n" + Good + "\n" + DigestHex + " team\n" +
                      "12ab team x\n" + std::string(64, 'g') + " team x\n" +
                      DigestHex + " king x\n" + DigestHex + " team x/y\n") ==
        Expected);
  });
  section("the exception doesn't include the line", [] {
    try {
      parseTokens("not-a-digest-but-a-token team x", "tokens");
      CPPUNIT_FAIL("no TokensFileError");
    } catch (const TokensFileError &E) {
      CPPUNIT_ASSERT(std::string(E.what()).find("but-a") == std::string::npos);
    }
  });
}

HEATHERCROSS_STORY(AccessSecretFiles,
                   "a secret file must be private to its owner") {
  const QTemporaryDir Folder;
  section("permissions for the owner alone are sufficient", [&] {
    const auto File = writeFile(Folder, tokensFileText(), 0600);
    CPPUNIT_ASSERT(loadTokens(File).authenticate("t-ada") == Ada);
  });
  section("any permission of the group or others is refused", [&] {
    for (const unsigned Permissions : {0640U, 0604U, 0620U, 0601U})
      CPPUNIT_ASSERT(readFault(writeFile(Folder, "x", Permissions)) ==
                     SecretFault::Exposed);
  });
  section(
      "an empty, overlong or missing file is invalid, and so is a directory",
      [&] {
        CPPUNIT_ASSERT(readFault(writeFile(Folder, "", 0600)) ==
                       SecretFault::Empty);
        const std::string Huge(MaxSecretFileBytes + 1, 'x');
        CPPUNIT_ASSERT(readFault(writeFile(Folder, Huge, 0600)) ==
                       SecretFault::TooLong);
        CPPUNIT_ASSERT(readFault("/nonexistent") == SecretFault::Unreadable);
        CPPUNIT_ASSERT(readFault("/") == SecretFault::NotRegular);
      });
}
