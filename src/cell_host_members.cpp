// Which hosts there are, their common secret, and the links between them.
#include "cell_host_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char secret_key[] = "secret";
constexpr std::size_t secret_bytes = 32;
/// A broken link is left out of the peers for so long, so that it is dialled
/// anew.
constexpr auto redial_pause = std::chrono::milliseconds(40);

} // namespace

/// The hosts share a secret that lives in the store; the first one makes it.
void cell_host::fetch_secret(time_point now)
{
    if (has_secret_ || secret_op_ || now < next_secret_)
        return;
    next_secret_ = now + config::cell_watch_retry;
    const auto op = context_.next_op();
    secret_op_ = op;
    context_.out.emplace_back(store_read{op, cell_table::owner, secret_key});
}

void cell_host::on_secret(time_point now, const store_result& result)
{
    if (result.status == store_status::conflict)
    {
        next_secret_ = now;
        return;
    }
    if (result.status != store_status::ok)
        return;
    if (!result.versions.empty())
    {
        // Read back what the commit has written.
        next_secret_ = now;
        fetch_secret(now);
        return;
    }
    if (!result.rows.empty())
    {
        has_secret_ = true;
        context_.out.emplace_back(set_link_secret{result.rows.front().value});
        connect(now);
        return;
    }
    const auto op = context_.next_op();
    secret_op_ = op;
    store_commit commit;
    commit.op = op;
    commit.writes.push_back({cell_table::owner, secret_key, std::uint64_t{0},
                             context_.entropy.hex(secret_bytes)});
    context_.out.emplace_back(std::move(commit));
}

void cell_host::register_member(time_point now)
{
    if (member_op_ || now < next_member_op_)
        return;
    next_member_op_ = now + config::cell_member_poll_period;
    if (!registered_)
    {
        store_commit commit;
        commit.op = context_.next_op();
        member_op_ = commit.op;
        commit.writes.push_back(
            {cell_table::member, context_.identity.host, std::nullopt,
             json{{"address", context_.identity.peer_address},
                  {"data_centre", context_.identity.data_centre},
                  {"incarnation", context_.identity.incarnation}}
                 .dump()});
        context_.out.emplace_back(std::move(commit));
        return;
    }
    if (owner_)
        member_op_ = context_.scan(cell_table::member);
}

void cell_host::on_members(time_point now, const store_result& result)
{
    if (result.status != store_status::ok)
    {
        next_member_op_ = now + config::cell_watch_retry;
        return;
    }
    if (!registered_)
    {
        registered_ = true;
        next_member_op_ = now;
        context_.log(log_code::member_registered,
                     context_.identity.incarnation);
        return;
    }
    std::set<std::string> named;
    for (const auto& row : result.rows)
    {
        const auto value = json::parse(row.value, nullptr, false);
        if (!value.is_object() || row.key == context_.identity.host)
            continue;
        named.insert(row.key);
        auto& member = members_[row.key];
        member.address = value.value("address", std::string());
        member.data_centre = value.value("data_centre", std::string());
    }
    for (auto at = members_.begin(); at != members_.end();)
        at = named.count(at->first) ? std::next(at) : members_.erase(at);
    connect(now);
}

/// The owner is connected to all, each other host to the owner.
void cell_host::connect(time_point now)
{
    if (!has_secret_)
        return;
    std::vector<peer_address> wanted;
    if (owner_)
    {
        for (auto& [host, member] : members_)
        {
            const bool silent =
                member.connected &&
                now > std::max(member.heard_at, member.connected_at) +
                          config::cell_link_timeout;
            if (silent)
            {
                member.redial_at = now + redial_pause;
                member.connected = false;
            }
            if (now >= member.redial_at)
                wanted.push_back({host, member.address});
        }
    }
    else if (!election_.owner().empty() &&
             election_.owner() != context_.identity.host)
    {
        const auto& owner = election_.owner();
        if (connected_.count(owner) &&
            now > std::max(acks_seen_at_, owner_connected_at_) +
                      config::cell_link_timeout)
        {
            owner_redial_at_ = now + redial_pause;
            connected_.erase(owner);
        }
        if (now >= owner_redial_at_)
            wanted.push_back({owner, election_.owner_address()});
    }
    const auto same =
        std::equal(wanted.begin(), wanted.end(), peers_.begin(), peers_.end(),
                   [](const peer_address& a, const peer_address& b)
                   { return a.host == b.host && a.address == b.address; });
    if (same)
        return;
    peers_ = wanted;
    context_.out.emplace_back(set_peers{std::move(wanted)});
}

} // namespace carobcourse
