#include "controlidentity.h"

#include "store/filesystem.h"
#include "utils/fields.h"

#include <algorithm>

namespace Replication {

template <typename Archive>
auto describe(Archive &archive, Voter &voter) -> void
{
    archive.required("id", voter.id);
    archive.optional("zone", voter.zone);
    archive.required("address", voter.address);
}

} // namespace Replication

namespace App {

constexpr auto identityFile = "identity.json";

template <typename Archive>
auto describe(Archive &archive, ControlIdentityRecord &record) -> void
{
    archive.required("process_id", record.processId);
    archive.required("first_voters", record.firstVoters);
}

auto loadOrCreateIdentity(const ControlStart &start) -> Utils::Result<ControlIdentityRecord>
{
    auto &files = Store::posixFileSystem();
    BOOST_OUTCOME_TRY(files.createFolder(start.dataFolder));
    BOOST_OUTCOME_TRY(names, files.list(start.dataFolder));
    if (std::ranges::find(names, identityFile) != names.end()) {
        BOOST_OUTCOME_TRY(text, files.read(start.dataFolder + '/' + identityFile));
        return Utils::fromJsonText<ControlIdentityRecord>(text);
    }
    ControlIdentityRecord record;
    record.processId = start.self.id;
    if (!start.firstStart)
        record.processId += '#' + std::to_string(start.nonce);
    else if (std::ranges::find(start.seeds, start.self.address, &Replication::Voter::address)
             != start.seeds.end())
        record.firstVoters = start.seeds;
    BOOST_OUTCOME_TRY(
        Store::replaceFile(files, start.dataFolder, identityFile, Utils::toJson(record).dump()));
    return record;
}

} // namespace App
