/// Balanced tree of workers ordered by free capacity.
#pragma once

#include <carobcourse/types.hpp>
#include <cstdint>
#include <vector>

namespace carobcourse
{

/// Small integer name of a worker inside one placement_index.
using worker_handle = std::uint32_t;
constexpr worker_handle no_worker = 0xffffffffU;

/// Treap over the key (free processor, free memory, handle), where each node
/// also knows the largest memory and accelerator count below it. Every
/// operation is O(log n) expected. Node priorities are a hash of the handle,
/// so the shape, and with it each decision, is the same on every run.
/// Several trees share one array of nodes; a worker is in one tree at most.
class placement_tree
{
public:
    struct node
    {
        resources free;
        std::int64_t max_memory = 0;
        std::int64_t max_accelerators = 0;
        worker_handle left = no_worker;
        worker_handle right = no_worker;
        std::uint32_t priority = 0;
    };
    using node_array = std::vector<node>;

    /// Preconditions: `handle` is in no tree and its node holds `free`.
    void insert(node_array& nodes, worker_handle handle);
    /// Preconditions: `handle` is in this tree, its free amount unchanged.
    void erase(node_array& nodes, worker_handle handle);

    /// First worker in key order with room for `amount`.
    worker_handle first_fit(const node_array& nodes,
                            const resources& amount) const
    {
        return first_fit(nodes, root_, amount);
    }

    /// Calls `visit(handle)` for workers with room, the freest first, until
    /// it returns false.
    template <class Visit>
    void for_each_descending(const node_array& nodes, const resources& amount,
                             Visit&& visit) const
    {
        descend(nodes, root_, amount, visit);
    }

private:
    static bool less(const node_array& nodes, worker_handle a, worker_handle b);
    static void refresh(node_array& nodes, worker_handle handle);
    static worker_handle merge(node_array& nodes, worker_handle a,
                               worker_handle b);
    static void split(node_array& nodes, worker_handle root, worker_handle key,
                      worker_handle& below, worker_handle& above);
    static worker_handle first_fit(const node_array& nodes, worker_handle root,
                                   const resources& amount);

    static bool may_fit(const node& n, const resources& amount)
    {
        return n.max_memory >= amount.memory_mb &&
               n.max_accelerators >= amount.accelerators;
    }

    template <class Visit>
    static bool descend(const node_array& nodes, worker_handle root,
                        const resources& amount, Visit& visit)
    {
        if (root == no_worker || !may_fit(nodes[root], amount))
            return true;
        if (!descend(nodes, nodes[root].right, amount, visit))
            return false;
        if (nodes[root].free.cpu_millis < amount.cpu_millis)
            return true;
        if (amount.fits_in(nodes[root].free) && !visit(root))
            return false;
        return descend(nodes, nodes[root].left, amount, visit);
    }

    worker_handle root_ = no_worker;
};

} // namespace carobcourse
